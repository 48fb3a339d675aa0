package larchridge.node.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

class GenerationParametersTest {
    private static HttpHeaders headers() {
        return new DefaultHttpHeaders()
                .set("Req-Id", "9b1f03aa5c7e2d41")
                .set("Req-Kind", "chat")
                .set("Req-Key", "k")
                .set("Req-Deadline-Ms", "4800")
                .set("Req-Extra", "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800");
    }

    @Test
    void completeHeadersAreRead() throws Exception {
        GenerationParameters parameters =
                GenerationParameters.read(headers().set("Req-Retry", "1"));
        assertEquals(
                new GenerationParameters(
                        "9b1f03aa5c7e2d41", "chat", "k", 4800, "5c0f", 5120, 2048, 800, true),
                parameters);
    }

    @Test
    void malformedHeadersAreRejected() {
        String[][] malformed = {
            {"Req-Id", ""},
            {"Req-Id", "9b1f03aa5c7e2d4"},
            {"Req-Id", "9b1f03aa5c7e2d4/"},
            {"Req-Kind", ""},
            {"Req-Deadline-Ms", "0"},
            {"Req-Deadline-Ms", "-5"},
            {"Req-Deadline-Ms", "4.5"},
            {"Req-Deadline-Ms", "soon"},
            {"Req-Deadline-Ms", "99999999999999999999"},
            {"Req-Extra", "prompt_len=-1,max_out=1"},
            {"Req-Extra", "prompt_len=1"},
            {"Req-Extra", "prompt_len=99999999999,max_out=1"}
        };
        for (String[] header : malformed) {
            assertThrows(
                    InvalidGenerationParametersException.class,
                    () -> GenerationParameters.read(headers().set(header[0], header[1])),
                    header[0] + ": " + header[1]);
        }
        assertThrows(
                InvalidGenerationParametersException.class,
                () -> GenerationParameters.read(headers().add("Req-Id", "9b1f03aa5c7e2d42")));
        assertThrows(
                InvalidGenerationParametersException.class,
                () -> GenerationParameters.read(headers().remove("Req-Id")));
    }
}
