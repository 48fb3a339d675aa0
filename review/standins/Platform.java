import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-ins for the platform of a front node: discovery, engines and clients. */
final class Platform {
    /** The settings of a small deployment, with the names of the settings object. */
    static final String SETTINGS =
            "{\"az\":\"a\",\"zones\":[\"a\"],\"discovery\":\"push\",\"family\":\"twostage\","
                    + "\"accounts\":[],\"host_types\":[\"lectura\",\"redaccion\",\"mixto\"],"
                    + "\"n_instances\":3,\"self_index\":0,\"over_share_worth\":0.1,"
                    + "\"family_info\":{\"ahead\":false,\"resume\":false,\"local_read\":false,"
                    + "\"aim_us_per_1000_prompt_tokens\":[40000.0],"
                    + "\"kv_tokens\":[202240,172271,196330],\"release_within_s\":1.0,"
                    + "\"stage_of_kind\":[\"read\",\"write\",\"both\"],\"token_aim_s\":[0.06]},"
                    + "\"invariants\":{\"cold_s\":13.0,\"cold_share\":0.3,"
                    + "\"grace_to_answer_s\":0.016,\"overload_factor\":4.0,"
                    + "\"stop_sending_within_s\":0.25,\"tip_after_s\":1.5},"
                    + "\"limits\":{\"dial_timeout_s\":0.25,\"keepalive_s\":15.0,"
                    + "\"max_attempts\":5,\"max_open\":20000,\"max_retry_after_s\":2.0,"
                    + "\"may_cancel\":true,\"may_probe\":false,\"parallel_tries\":true,"
                    + "\"peer_messages\":false,\"retry_after\":true,\"streams_per_conn\":1},"
                    + "\"reporting\":{\"fields\":[],\"source\":\"off\"},"
                    + "\"request_classes\":[{\"give_up_s\":5.0,\"group\":\"all\","
                    + "\"late_worth\":0.2,\"memory_span_s\":5.0,\"name\":\"consulta\","
                    + "\"repeat\":\"pure\",\"slo_s\":1.2,\"streamed\":true,\"worth\":1.0}],"
                    + "\"weights\":\"nominal\",\"worth_by\":\"work\"}";

    private Platform() {}

    private static void daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    // ------------------------------------------------------------------ the front node

    /** One front node, started as the deploy file starts it. */
    static final class FrontNode {
        final int port = Kit.freePort();
        private final Path config = Kit.temporary().resolve("config.json");
        Process process;

        FrontNode() throws IOException {}

        void configure(Agent agent, String known) throws IOException {
            String json =
                    "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                            + port
                            + "\",\"discovery\":\"127.0.0.1:"
                            + agent.port()
                            + "\",\"seed\":\"8c1f30d27a5be964\","
                            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                            + "\"known\":"
                            + known
                            + ",\"settings\":"
                            + SETTINGS
                            + "}";
            Path next = config.resolveSibling("config.next");
            Files.writeString(next, json);
            Files.move(
                    next,
                    config,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        /** Starts the node and waits until GET /up answers 200, for 30 s at most. */
        boolean start(Agent agent) throws IOException {
            process =
                    Kit.start(
                            "node",
                            Map.of(
                                    "PROXY_NAME", "n0",
                                    "PROXY_LISTEN", "127.0.0.1:" + port,
                                    "PROXY_DISCOVERY", "127.0.0.1:" + agent.port(),
                                    "PROXY_CONFIG", config.toString()),
                            "/bin/sh",
                            "-c",
                            "exec sh deploy/node.sh");
            double untilMs = Kit.nowMs() + 30_000;
            while (Kit.nowMs() < untilMs && process.isAlive()) {
                if (answersUp(1000)) {
                    Kit.record("the node is ready");
                    return true;
                }
                Kit.sleep(50);
            }
            return false;
        }

        /** Whether GET /up answers 200 within this time. */
        boolean answersUp(int withinMs) {
            try (Socket socket = new Socket(Kit.LOOPBACK, port)) {
                socket.setSoTimeout(withinMs);
                socket.getOutputStream()
                        .write(
                                "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                Kit.Message answer = Kit.read(new BufferedInputStream(socket.getInputStream()));
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    // ------------------------------------------------------------------ discovery

    /** The agent: one list with an index, asked for as a whole or by watches. */
    static final class Agent {
        private final String name;
        private final ServerSocket listener = new ServerSocket(0, 100, Kit.LOOPBACK);
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private long index;
        private String endpoints;

        Agent(String name, long index, String endpoints) throws IOException {
            this.name = name;
            this.index = index;
            this.endpoints = endpoints;
            daemon(name, this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        synchronized void set(long newIndex, String newEndpoints) {
            index = newIndex;
            endpoints = newEndpoints;
            notifyAll();
        }

        synchronized String list() {
            return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + endpoints + "]}";
        }

        /** Accepts nothing new, and closes the open connections 1.5 s later. */
        void retire() throws IOException {
            listener.close();
            daemon(
                    name + "-end",
                    () -> {
                        Kit.sleep(1500);
                        for (Socket socket : open) {
                            try {
                                socket.close();
                            } catch (IOException e) {
                                // It is closed.
                            }
                        }
                    });
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(name, () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                for (Kit.Message request = Kit.read(in); request != null; request = Kit.read(in)) {
                    Map<String, String> query = query(request.path());
                    if (query.containsKey("after")) {
                        await(Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")));
                    }
                    String json = answer(query.get("after"));
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                                    + json.length()
                                                    + "\r\n\r\n"
                                                    + json)
                                            .getBytes(StandardCharsets.US_ASCII));
                    if (!query.containsKey("after") || !json.contains("[]")) {
                        Kit.record(name + " told " + json);
                    }
                }
            } catch (IOException e) {
                // The node has gone.
            } finally {
                open.remove(socket);
            }
        }

        private synchronized void await(long after, long waitMs) {
            double untilMs = Kit.nowMs() + waitMs;
            try {
                while (index <= after && Kit.nowMs() < untilMs) {
                    wait(Math.max(1, (long) (untilMs - Kit.nowMs())));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private synchronized String answer(String after) {
            return after == null || index > Long.parseLong(after)
                    ? list()
                    : "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[]}";
        }

        private static Map<String, String> query(String target) {
            Map<String, String> query = new HashMap<>();
            int mark = target.indexOf('?');
            if (mark >= 0) {
                for (String pair : target.substring(mark + 1).split("&")) {
                    String[] parts = pair.split("=", 2);
                    query.put(parts[0], parts[1]);
                }
            }
            return query;
        }
    }

    // ------------------------------------------------------------------ engines

    /** The read states of all engines; a release at any engine frees those of a request. */
    static final Set<String> STATES = ConcurrentHashMap.newKeySet();

    /** An engine: reads prompts or writes answers, one request at a time on a connection. */
    static final class Engine {
        final String name;
        private final String type;
        private final ServerSocket listener = new ServerSocket(0, 200, Kit.LOOPBACK);
        private final Random random;

        /** Share of answers that are followed by a second answer, and how late it comes. */
        double secondAnswerShare;

        double secondAnswerLateMs;

        /** How many events an answer has, and the time between two of them. */
        int events = 5;

        double eventMs = 8;

        /** The attempts that arrived, with their times. */
        final List<String> arrivals = Collections.synchronizedList(new ArrayList<>());

        Engine(String name, String type) throws IOException {
            this.name = name;
            this.type = type;
            random = new Random(name.hashCode());
            daemon(name, this::accept);
        }

        String entry(String status) {
            return "{\"name\":\""
                    + name
                    + "\",\"address\":\"127.0.0.1:"
                    + listener.getLocalPort()
                    + "\",\"zone\":\"a\",\"type\":\""
                    + type
                    + "\",\"group\":1,\"status\":\""
                    + status
                    + "\",\"weight\":1.0,\"since_ms\":0}";
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(name, () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                // The settings' time after which an engine closes a connection that rests.
                socket.setSoTimeout(15_000);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Kit.Message request = Kit.read(in); request != null; request = Kit.read(in)) {
                    if (request.first.startsWith("DELETE /v1/holds/")) {
                        String id = request.path().substring("/v1/holds/".length());
                        STATES.remove(id);
                        Kit.record(name + " release " + id);
                        write(out, "HTTP/1.1 204 No Content\r\n\r\n");
                    } else if (request.first.startsWith("POST /v1/chat/completions")) {
                        arrivals.add(request.headers.get("req-id"));
                        Kit.record(name + " attempt " + request.headers.get("req-id"));
                        attempt(out, request.headers.get("req-id"));
                    } else {
                        write(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                    }
                }
            } catch (IOException e) {
                // The node has closed the connection.
            }
        }

        private void attempt(OutputStream out, String id) throws IOException {
            String answer;
            if (type.equals("lectura")) {
                Kit.sleep(15);
                STATES.add(id);
                answer =
                        "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\n"
                                + "Content-Length: 19\r\n\r\n{\"cached_tokens\":0}";
                write(out, answer);
            } else if (!STATES.remove(id)) {
                write(
                        out,
                        "HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            } else {
                answer = stream(out, id);
            }
            boolean second;
            synchronized (random) {
                second = random.nextDouble() < secondAnswerShare;
            }
            if (second) {
                Kit.sleep(secondAnswerLateMs);
                write(out, answer);
                Kit.record(name + " second answer " + id);
            }
        }

        /** Writes an answer whose every text names the request; returns all its bytes. */
        private String stream(OutputStream out, String id) throws IOException {
            Kit.sleep(25);
            List<String> parts = new ArrayList<>();
            parts.add(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + event(id, 0, "null"));
            for (int i = 1; i < events; i++) {
                parts.add(event(id, i, i < events - 1 ? "null" : "\"stop\""));
            }
            parts.add(
                    chunk(
                                    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,"
                                            + "\"completion_tokens\":5,"
                                            + "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
                                            + "data: [DONE]\n\n")
                            + "0\r\n\r\n");
            for (String part : parts) {
                write(out, part);
                if (part != parts.get(parts.size() - 1)) {
                    Kit.sleep(eventMs);
                }
            }
            return String.join("", parts);
        }

        private static String event(String id, int number, String reason) {
            return chunk(
                    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                            + id
                            + " "
                            + number
                            + "\"},\"finish_reason\":"
                            + reason
                            + "}]}\n\n");
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        private static void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
        }
    }

    // ------------------------------------------------------------------ clients

    /** Clients that keep connections and open more when all are busy. */
    static final class Clients {
        static final String NO_ANSWER = "sent and without an answer for 8 s";

        private final int port;
        private final Deque<Socket> resting = new ArrayDeque<>();
        private final Random random = new Random(1);
        final List<String> foreign = Collections.synchronizedList(new ArrayList<>());
        final Map<String, Integer> outcomes = new ConcurrentHashMap<>();

        Clients(int port) {
            this.port = port;
        }

        /** Sends requests at random times with this mean rate, each on a thread of its own. */
        void send(double perSecond, double forMs) {
            double untilMs = Kit.nowMs() + forMs;
            while (Kit.nowMs() < untilMs) {
                String id = String.format("%016x", random.nextLong());
                daemon("client", () -> request(id));
                Kit.sleep(-Math.log(1 - random.nextDouble()) * 1000 / perSecond);
            }
            Kit.sleep(6000);
        }

        private void request(String id) {
            String outcome = "none";
            Socket socket = null;
            try {
                boolean kept;
                synchronized (resting) {
                    socket = resting.pollFirst();
                    kept = socket != null;
                }
                Kit.Message answer = null;
                Kit.record("client " + id + " sends");
                if (kept) {
                    answer = exchange(socket, id);
                }
                if (answer == null) {
                    // Closed between requests: the request is sent once more.
                    socket = new Socket();
                    socket.connect(new InetSocketAddress(Kit.LOOPBACK, port), 2000);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(8000);
                    answer = exchange(socket, id);
                }
                outcome = answer == null ? "closed" : check(id, answer);
                if (answer != null
                        && answer.complete
                        && !"close".equalsIgnoreCase(answer.headers.get("connection"))) {
                    synchronized (resting) {
                        resting.addFirst(socket);
                    }
                } else {
                    socket.close();
                }
            } catch (java.net.SocketTimeoutException e) {
                outcome = socket != null && socket.isConnected() ? NO_ANSWER : "not connected";
            } catch (IOException e) {
                outcome = "not connected";
            }
            Kit.record("client " + id + " " + outcome);
            outcomes.merge(outcome.split(":")[0], 1, Integer::sum);
        }

        /** The head of a request with the given header for the length of its body. */
        static String request(String id, String length) {
            return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nReq-Id: "
                    + id
                    + "\r\nReq-Kind: consulta\r\nReq-Key: "
                    + id
                    + "\r\nReq-Deadline-Ms: 4800\r\nReq-Extra: prompt_len=400,max_out=200\r\n"
                    + "Content-Type: application/json\r\n"
                    + length
                    + "\r\n";
        }

        /** Sends a request and reads its answer; null if the connection has ended before it. */
        private static Kit.Message exchange(Socket socket, String id) throws IOException {
            String body =
                    "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":200,\"messages\":["
                            + "{\"role\":\"user\",\"content\":\""
                            + "nivel ".repeat(250)
                            + "\"}]}";
            String head = request(id, "Content-Length: " + body.length() + "\r\n");
            try {
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
                return Kit.read(new BufferedInputStream(socket.getInputStream()));
            } catch (java.net.SocketTimeoutException e) {
                throw e;
            } catch (java.net.SocketException e) {
                return null;
            }
        }

        /**
         * What became of a request. Only a stream that was ended with its last chunk can have been
         * served wrongly: one that is spoilt and cut has failed.
         */
        private String check(String id, Kit.Message answer) {
            if (answer.status() != 200) {
                return "status " + answer.status();
            }
            if (!answer.complete) {
                return "cut";
            }
            for (String event : answer.text().split("\n\n")) {
                int content = event.indexOf("\"content\":\"");
                if (content >= 0 && !event.startsWith(id, content + 11)) {
                    foreign.add(id);
                    return "foreign events in a whole stream: " + event;
                }
            }
            return "served";
        }
    }
}
