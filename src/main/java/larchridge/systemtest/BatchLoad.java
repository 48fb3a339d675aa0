package larchridge.systemtest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The batches of a test script: uploads their files, creates them, cancels what is left at the end
 * of the script and reads the results. Each line is an operation of the traffic log: requested when
 * its file is uploaded, and answered once by each record of it in the result files.
 */
final class BatchLoad extends Thread {
    static final String NAME = "batch";
    private static final long POLL_MS = 50;
    private static final double NO_TIME_LIMIT_MS = 1e9;

    private final TestScript script;
    private final BatchApiClient client;
    private final TrafficLog log;
    private final long startNanos = System.nanoTime();

    BatchLoad(TestScript script, int port, TrafficLog log) {
        super("batch-load");
        setDaemon(true);
        this.script = script;
        this.log = log;
        client = new BatchApiClient(port, script.tenants().get(0).name());
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
                            NO_TIME_LIMIT_MS,
                            batch.product());
                }
                ids.add(client.createBatch(client.upload(NAME + i, lines), "/v1/messages", "1h"));
            }
            sleepUntil(script.durationMs());
            for (String id : ids) {
                client.cancel(id);
            }
            for (String id : ids) {
                JsonNode batch = client.batch(id);
                while (batch == null || !BatchApiClient.isFinished(batch)) {
                    TimeUnit.MILLISECONDS.sleep(POLL_MS);
                    batch = client.batch(id);
                }
                client.records(
                        batch,
                        (line, succeeded) ->
                                log.add(
                                        TrafficEvent.Kind.FINAL,
                                        0,
                                        null,
                                        line + "#0",
                                        0,
                                        succeeded ? "streamed" : "terminated"));
            }
        } catch (InterruptedException e) {
            interrupt();
        }
    }

    private void sleepUntil(double ms) throws InterruptedException {
        double remainingMs = ms - (System.nanoTime() - startNanos) / 1e6;
        if (remainingMs > 0) {
            TimeUnit.MILLISECONDS.sleep((long) remainingMs);
        }
    }

    private static String tag(int batch, int line) {
        return NAME + batch + "-" + line + "#0";
    }

    private static String lines(int batchIndex, TestScript.Batch batch) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < batch.lines(); i++) {
            text.append("{\"custom_id\":\"")
                    .append(NAME)
                    .append(batchIndex)
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
                    .append(tag(batchIndex, i))
                    .append("]\"}]}}\n");
        }
        return text.toString();
    }
}
