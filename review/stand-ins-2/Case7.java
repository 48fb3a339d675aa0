package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** A batch of a deduplicated product, while one writer runs what it gets and loses most of its answers. */
final class Case7 {
    private static final int LINES = 16;

    /** How long engines drop repeats. */
    private static final double MEMORY_MS = 5000;

    /** The time of a try of a line. */
    private static final int LINE_MS = 10_000;

    /** "For 23 to 42 s, ... leave unanswered 64 to 95% of one product's generations" */
    private static final double TROUBLE_MS = 25_000;

    private static final int LOST_OF_FOUR = 3;
    private static volatile double troubleEndMs;

    private static final class Writer extends CompletionsEngine {
        private final boolean losesAnswers;
        private int written;

        Writer(String name, boolean losesAnswers) throws IOException {
            super(name, false);
            this.losesAnswers = losesAnswers;
            memoryMs = MEMORY_MS;
        }

        @Override
        synchronized boolean losesAnswer() {
            return losesAnswers && Kit.nowMs() < troubleEndMs && written++ % 4 < LOST_OF_FOUR;
        }
    }

    public static void main(String[] args) {
        Kit.run(args[0], Case7::run);
    }

    private static boolean run(Path temporary) throws Exception {
        List<CompletionsEngine> engines =
                List.of(
                        new CompletionsEngine("reader1", true),
                        new CompletionsEngine("reader2", true),
                        new Writer("writer3", Kit.TROUBLE),
                        new Writer("writer4", false));
        Service service = new Service(temporary);
        service.writeEngines(engines);
        service.start(
                "product { name: \"registro\" model: \"registro\" effect: DEDUPLICATED dedup_span: ALL dedup_memory_ms: "
                        + (int) MEMORY_MS + " revenue: 1 late_revenue: 0.2 slo_ms: 1200 time_limit_ms: 5000"
                        + " most_tokens: 4096 }\n",
                "batch { listen { host: \"127.0.0.1\" port: " + service.batch + " } folder: \"store\" open_lines: 64"
                        + " attempts: 3 line_ms: " + LINE_MS + " }\n");
        troubleEndMs = Kit.nowMs() + TROUBLE_MS;

        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < LINES; i++) {
            lines.append("{\"custom_id\":\"line-").append(i).append("\",\"method\":\"POST\",\"url\":\"/v1/messages\","
                    + "\"body\":{\"model\":\"registro\",\"max_tokens\":16,\"messages\":[{\"role\":\"user\","
                    + "\"content\":\"Apunta el nivel numero ").append(i).append("\"}]}}\n");
        }
        String boundary = "x-boundary-x";
        Client.Answer upload =
                Service.call(service.batch, "POST", "/v1/files", "multipart/form-data; boundary=" + boundary,
                        "--" + boundary + "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--"
                                + boundary + "\r\nContent-Disposition: form-data; name=\"file\"; filename=\"in.jsonl\"\r\n"
                                + "Content-Type: application/jsonl\r\n\r\n" + lines + "\r\n--" + boundary + "--\r\n");
        Kit.log("upload: " + upload.status() + " " + upload.text());
        Client.Answer created =
                Service.call(service.batch, "POST", "/v1/batches", "application/json",
                        "{\"input_file_id\":\"" + Service.field(upload.text(), "id")
                                + "\",\"endpoint\":\"/v1/messages\",\"completion_window\":\"1h\"}");
        Kit.log("batch: " + created.status() + " " + created.text());
        String id = Service.field(created.text(), "id");
        double end = Kit.nowMs() + 60_000;
        Client.Answer state = created;
        while (Kit.nowMs() < end && !"completed".equals(Service.field(state.text(), "status"))) {
            Kit.sleep(500);
            state = Service.call(service.batch, "GET", "/v1/batches/" + id, "text/plain", "");
        }
        Kit.log("batch: " + state.text());
        String output = Service.field(state.text(), "output_file_id");
        if (output != null) {
            Kit.log("output: " + Service.call(service.batch, "GET", "/v1/files/" + output + "/content", "text/plain", "").text());
        }
        long run = CompletionsEngine.tookEffect(1);
        long twice = CompletionsEngine.tookEffect(2);
        Kit.say("batch " + Service.field(state.text(), "status") + "; lines that took effect " + run + ", more than once "
                + twice);
        if (run < LINES / 2) {
            throw new IOException("too few lines were run for a test");
        }
        return twice == 0;
    }
}
