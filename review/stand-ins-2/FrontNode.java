package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** A front node as the deploy file starts it. */
final class FrontNode {
    /** Three classes, one of each effect, in a deployment of three front nodes. */
    static final String SETTINGS =
            "{\"az\":\"a\",\"discovery\":\"push\",\"family\":\"twostage\",\"family_info\":{\"ahead\":false,"
                    + "\"aim_us_per_1000_prompt_tokens\":[40000,40000,40000],\"kv_tokens\":[200000,200000],"
                    + "\"local_read\":false,\"release_within_s\":1.0,\"report_x0\":\"share of memory that is held\","
                    + "\"report_x1\":\"thousands of prompt tokens waiting to be read or fetched\",\"resume\":false,"
                    + "\"stage_of_kind\":[\"read\",\"write\"],\"token_aim_s\":[0.06,0.06,0.06],\"transfer_price\":0.02},"
                    + "\"host_types\":[\"lector\",\"redactor\"],\"invariants\":{\"ask_within_s\":10.0,\"cold_s\":13.0,"
                    + "\"cold_share\":0.3,\"grace_to_answer_s\":0.016,\"overload_factor\":4.0,\"stop_sending_within_s\":0.25,"
                    + "\"tip_after_s\":1.5},\"limits\":{\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":500000,"
                    + "\"dial_timeout_s\":0.25,\"keepalive_s\":15.0,\"max_attempts\":5,\"max_open\":20000,"
                    + "\"max_retry_after_s\":2.0,\"may_cancel\":true,\"may_probe\":true,\"parallel_tries\":true,"
                    + "\"peer_messages\":false,\"retry_after\":true,\"streams_per_conn\":100},\"n_instances\":3,"
                    + "\"over_share_worth\":1.0,\"reporting\":{\"fields\":[\"inflight\",\"queue\",\"x0\",\"x1\"],"
                    + "\"source\":\"on_probe\"},\"request_classes\":["
                    + "{\"give_up_s\":5.0,\"group\":\"all\",\"late_worth\":0.2,\"memory_span_s\":5.0,\"name\":\"consulta\","
                    + "\"repeat\":\"pure\",\"slo_s\":1.2,\"streamed\":true,\"worth\":1.0},"
                    + "{\"give_up_s\":5.0,\"group\":\"cell\",\"late_worth\":0.2,\"memory_span_s\":3.0,\"name\":\"registro\","
                    + "\"repeat\":\"token\",\"slo_s\":1.2,\"streamed\":true,\"worth\":1.0},"
                    + "{\"give_up_s\":5.0,\"group\":\"all\",\"late_worth\":0.2,\"memory_span_s\":5.0,\"name\":\"reserva\","
                    + "\"repeat\":\"side_effect\",\"slo_s\":1.2,\"streamed\":true,\"worth\":2.0}],"
                    + "\"resolution_s\":0.004,\"self_index\":0,\"tier\":0,\"tiers\":[\"modelos\"],\"weights\":\"nominal\","
                    + "\"worth_by\":\"work\",\"zones\":[\"a\",\"b\"]}";

    final int port;
    final Process process;
    private final Path config;

    private final double cores;

    FrontNode(Path folder, StandInAgent agent, String known) throws IOException {
        this(folder, agent, known, 1);
    }

    FrontNode(Path folder, StandInAgent agent, String known, double cores) throws IOException {
        this.cores = cores;
        port = Kit.freePort();
        config = folder.resolve("config.json");
        writeConfig(agent, known);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/node.sh");
        builder.environment().put("PROXY_NAME", "n1");
        builder.environment().put("PROXY_LISTEN", Kit.LOOPBACK + ":" + port);
        builder.environment().put("PROXY_DISCOVERY", agent.address());
        builder.environment().put("PROXY_CONFIG", config.toString());
        process = Kit.start(builder, folder.resolve("node.log"));
    }

    /** Replaces the configuration file. */
    void writeConfig(StandInAgent agent, String known) throws IOException {
        Path next = config.resolveSibling("config.next");
        Files.writeString(
                next,
                "{\"name\":\"n1\",\"listen\":\"" + Kit.LOOPBACK + ":" + port + "\",\"discovery\":\""
                        + agent.address() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":" + cores + ","
                        + "\"memory_mb\":192,\"sockets\":1024},\"known\":" + known + ",\"settings\":" + SETTINGS + "}");
        Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Waits until GET /up answers 200. */
    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end) {
            if (!process.isAlive()) {
                throw new IOException("the node has ended during its start");
            }
            try (Socket socket = new Socket(Kit.LOOPBACK, port)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream()
                        .write(Message.bytes("GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"));
                Message answer = Message.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    Kit.log("the node is ready");
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Kit.sleep(50);
        }
        throw new IOException("the node is not ready within 30 s");
    }

    /** Sends a signal to the program that the deploy file started. */
    void signal(String name) throws IOException, InterruptedException {
        Kit.log("SIG" + name + " to the node");
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }
}
