package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Some streams bring a second answer some milliseconds after their end; clients look whose answer they get. */
final class Case6 {
    private static final double LENGTH_MS = 12_000;
    private static final int CLIENTS = 6;

    /** One stream in so many brings a second answer. */
    private static final int SPOILT_EVERY = 20;

    /** "some milliseconds late" */
    private static final double LATE_MS = 6;

    private static final AtomicInteger SECOND_ANSWERS = new AtomicInteger();
    private static final AtomicInteger STREAMS = new AtomicInteger();

    /** A writer that sends the stream a second time on some connections. */
    private static final class Writer extends StandInEngine {
        Writer(String name) throws IOException {
            super(name, false);
        }

        @Override
        void stream(String id, Link link) throws IOException {
            super.stream(id, link);
            if (Kit.TROUBLE && STREAMS.incrementAndGet() % SPOILT_EVERY == 0) {
                // On a thread of its own: the requests that come meanwhile are read as usual, and answered later.
                Kit.daemon(() -> secondAnswer(id, link));
            }
        }

        private void secondAnswer(String id, Link link) {
            Kit.sleep(LATE_MS);
            String events = event(id, 0) + lastEvents();
            try {
                link.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(events.length()) + "\r\n" + events + "\r\n0\r\n\r\n");
                SECOND_ANSWERS.incrementAndGet();
                Kit.log(name + " sent a second answer to " + id);
            } catch (IOException e) {
                // The front node has closed the connection.
            }
        }
    }

    public static void main(String[] args) {
        Kit.run(args[0], temporary -> {
            List<StandInEngine> engines = new ArrayList<>();
            engines.add(new StandInEngine("r1", true));
            engines.add(new StandInEngine("r2", true));
            engines.add(new Writer("w1"));
            engines.add(new Writer("w2"));
            engines.forEach(engine -> engine.eventMs = 15);
            StandInAgent agent = new StandInAgent(engines.stream().map(e -> e.entry("SERVING")).toList());
            FrontNode node = new FrontNode(temporary, agent, agent.snapshot());
            node.awaitReady();
            AtomicInteger asked = new AtomicInteger();
            AtomicInteger own = new AtomicInteger();
            AtomicInteger foreign = new AtomicInteger();
            double endMs = Kit.nowMs() + LENGTH_MS;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(Kit.daemon(() -> ask(node.port, endMs, asked, own, foreign)));
            }
            for (Thread client : clients) {
                client.join();
            }
            Kit.say("requests " + asked + ", answered with their own stream " + own
                    + ", with the stream of another request " + foreign + ", second answers sent " + SECOND_ANSWERS);
            if (own.get() < 100) {
                throw new IOException("too few requests were served for a test");
            }
            return foreign.get() == 0;
        });
    }

    private static void ask(
            int port, double endMs, AtomicInteger asked, AtomicInteger own, AtomicInteger foreign) {
        while (Kit.nowMs() < endMs) {
            try (Client client = new Client(port)) {
                while (Kit.nowMs() < endMs) {
                    String id = Client.newId();
                    asked.incrementAndGet();
                    Kit.log("client sends " + id);
                    client.send(Client.request(id, "consulta", 4800, 50));
                    Client.Answer answer = client.readAnswer();
                    if (answer == null) {
                        break;
                    }
                    boolean served = answer.status() == 200;
                    boolean isForeign = served && answer.text().replace("answer to " + id, "").contains("answer to ");
                    Kit.log("client got for " + id + ": " + answer.status() + (answer.whole() ? " whole" : " cut")
                            + (isForeign ? " FOREIGN: " + answer.text().replace("\n", " ") : ""));
                    if (isForeign) {
                        foreign.incrementAndGet();
                    } else if (served && answer.whole()) {
                        own.incrementAndGet();
                    }
                }
            } catch (IOException e) {
                Kit.log("client: " + e);
            }
        }
    }
}
