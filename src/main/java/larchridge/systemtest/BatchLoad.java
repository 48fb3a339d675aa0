package larchridge.systemtest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The drill's batches: uploaded, made, cancelled when the drill's time is over, read. Each line is
 * an operation of the traffic log that is asked when its file goes out and answered by each record
 * that the downloaded files hold of it.
 */
final class BatchLoad extends Thread {
    static final String NAME = "batch";
    private static final long LOOK_MS = 50;
    private static final double PATIENCE_MS = 1e9;

    private final TestScript script;
    private final BatchApiClient calls;
    private final TrafficLog log;
    private final long startNs = System.nanoTime();

    BatchLoad(TestScript script, int port, TrafficLog log) {
        super("batch-load");
        setDaemon(true);
        this.script = script;
        this.log = log;
        calls = new BatchApiClient(port, script.tenants().get(0).name());
    }

    @Override
    public void run() {
        try {
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < script.batches().size(); i++) {
                TestScript.Batch batch = script.batches().get(i);
                sleepUntil(batch.atMs());
                String lines = lines(i, batch);
                for (int j = 0; j < batch.lines(); j++) {
                    log.add(
                            TrafficEvent.Kind.ASKED,
                            0,
                            script.tenants().get(0).name(),
                            tag(i, j),
                            PATIENCE_MS,
                            batch.product());
                }
                ids.add(calls.make(calls.upload(NAME + i, lines), "/v1/messages", "1h"));
            }
            sleepUntil(script.durationMs());
            for (String id : ids) {
                calls.cancel(id);
            }
            for (String id : ids) {
                JsonNode batch = calls.batch(id);
                while (batch == null || !BatchApiClient.isOver(batch)) {
                    TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                    batch = calls.batch(id);
                }
                calls.records(
                        batch,
                        (line, good) ->
                                log.add(
                                        TrafficEvent.Kind.FINAL,
                                        0,
                                        null,
                                        line + "#0",
                                        0,
                                        good ? "streamed" : "terminated"));
            }
        } catch (InterruptedException e) {
            interrupt();
        }
    }

    private void sleepUntil(double ms) throws InterruptedException {
        double left = ms - (System.nanoTime() - startNs) / 1e6;
        if (left > 0) {
            TimeUnit.MILLISECONDS.sleep((long) left);
        }
    }

    private static String tag(int batch, int line) {
        return NAME + batch + "-" + line + "#0";
    }

    private static String lines(int number, TestScript.Batch batch) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < batch.lines(); i++) {
            text.append("{\"custom_id\":\"")
                    .append(NAME)
                    .append(number)
                    .append('-')
                    .append(i)
                    .append(
                            "\",\"method\":\"POST\",\"url\":\"/v1/messages\",\"body\":{\"model\":\"")
                    .append(batch.product())
                    .append("\",\"max_tokens\":")
                    .append(2 * batch.outputTokens())
                    .append(",\"messages\":[{\"role\":\"user\",")
                    .append("\"content\":\"Parte ")
                    .append(i)
                    .append(' ')
                    .append("aforo ".repeat(batch.promptTokens() * 2 / 3))
                    .append("[out:")
                    .append(batch.outputTokens())
                    .append("] [tag:")
                    .append(tag(number, i))
                    .append("]\"}]}}\n");
        }
        return text.toString();
    }
}
