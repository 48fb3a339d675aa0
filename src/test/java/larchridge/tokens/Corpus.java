package larchridge.tokens;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;

/** Random texts similar to users' prompts, and malformed ones. */
final class Corpus {
    private static final String[] WORDS = {
        "caudal",
        "nivel",
        "río",
        "Nalón",
        "aviso",
        "précis",
        "auga",
        "chuvia",
        "mañá",
        "vigilancia",
        "de",
        "la",
        "el",
        "SE",
        "ESPERA",
        "m3/s",
        "L'aforo",
        "don't",
        "it's",
        "I'VE",
        "ñandú",
        "水位",
        "نهر",
        "река",
        "👩‍👩‍👧",
        "🌊",
        "e\u0301",
        "\uD83C",
        "ǅ",
        "ª",
        "x1",
        "2026-12-01T06:00:00Z",
        "3.14159265358979323846264338"
    };
    private static final String[] SEPARATORS = {
        " ", " ", " ", "  ", "\n", "\r\n", "\t", ", ", ". ", " - ", "", "\n\n   ", "\u00A0",
        "\u2003", " \n", "/", "\u200D"
    };

    private Corpus() {}

    static String randomText(Random random, int pieces) {
        StringBuilder text = new StringBuilder();
        int kind = random.nextInt(6);
        for (int i = 0; i < pieces; i++) {
            switch (kind) {
                case 0, 1 ->
                        text.append(WORDS[random.nextInt(WORDS.length)])
                                .append(SEPARATORS[random.nextInt(SEPARATORS.length)]);
                case 2 ->
                        text.append("station=")
                                .append(random.nextInt(99))
                                .append(" level=")
                                .append(random.nextInt(9999) / 100.0)
                                .append(" t=")
                                .append(random.nextLong())
                                .append('\n');
                case 3 ->
                        text.append("  if (a[")
                                .append(i)
                                .append("] != ")
                                .append(WORDS[random.nextInt(8)])
                                .append(") { return; }\n");
                case 4 ->
                        text.append("{\"")
                                .append(WORDS[random.nextInt(8)])
                                .append("\": [")
                                .append(random.nextInt())
                                .append(", null], \"x\":\"")
                                .append(SEPARATORS[random.nextInt(SEPARATORS.length)])
                                .append("\"} ");
                default -> {
                    byte[] randomBytes = new byte[6];
                    random.nextBytes(randomBytes);
                    text.append(
                            new String(
                                    randomBytes,
                                    random.nextBoolean()
                                            ? StandardCharsets.UTF_8
                                            : StandardCharsets.UTF_16BE));
                }
            }
        }
        return text.toString();
    }

    /** Writes the library's rank file of an encoding, which has the published format. */
    static Path writeRankFile(Path directory, String encoding) throws IOException {
        Path file = directory.resolve(encoding + ".tiktoken");
        try (InputStream in =
                com.knuddels.jtokkit.Encodings.class.getResourceAsStream(
                        "/com/knuddels/jtokkit/" + encoding + ".tiktoken")) {
            Files.write(file, in.readAllBytes());
        }
        return file;
    }
}
