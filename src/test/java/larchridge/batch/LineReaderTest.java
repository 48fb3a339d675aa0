package larchridge.batch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class LineReaderTest {
    private static List<LineReader.Line> read(
            Path file, int maxLineBytes, long firstIndex, long startOffset) throws Exception {
        List<LineReader.Line> all = new ArrayList<>();
        try (FileChannel channel = FileChannel.open(file);
                LineReader lines = new LineReader(channel, maxLineBytes, firstIndex, startOffset)) {
            for (LineReader.Line line = lines.next(); line != null; line = lines.next()) {
                all.add(line);
            }
        }
        return all;
    }

    @Test
    void lineEndingsByteOrderMarkAndBlankLines() throws Exception {
        Path file = Files.createTempFile("lines", "");
        Files.writeString(file, "\uFEFFa\r\n\n  \r\nb\nc\r\r\nlast");
        List<LineReader.Line> lines = read(file, 100, 0, 0);
        assertEquals(
                List.of("0 a", "3 b", "4 c\r", "5 last"),
                lines.stream()
                        .map(
                                line ->
                                        line.index()
                                                + " "
                                                + new String(line.bytes(), StandardCharsets.UTF_8))
                        .toList());
        Files.write(file, new byte[0]);
        assertEquals(List.of(), read(file, 100, 0, 0));
        Files.delete(file);
    }

    @Test
    void lineOverTheLimitHasNoBytesAndTheNextIsRead() throws Exception {
        Path file = Files.createTempFile("lines", "");
        Files.writeString(file, "x".repeat(300_000) + "\nok\n" + "y".repeat(101));
        List<LineReader.Line> lines = read(file, 100, 0, 0);
        assertNull(lines.get(0).bytes());
        assertEquals("ok", new String(lines.get(1).bytes(), StandardCharsets.UTF_8));
        assertNull(lines.get(2).bytes());
        Files.delete(file);
    }

    /**
     * Guards against: a batch that resumes in the middle of its input would read other lines than
     * from the start.
     */
    @Property(tries = 100, seed = "20261201")
    void readingFromAnyLineYieldsTheSameLines(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 70_000) Integer> lengths)
            throws Exception {
        Path file = Files.createTempFile("lines", "");
        StringBuilder text = new StringBuilder();
        lengths.forEach(
                length -> text.append("z".repeat(length)).append(length % 2 == 0 ? "\n" : "\r\n"));
        Files.writeString(file, text);
        List<LineReader.Line> all = read(file, 50_000, 0, 0);
        for (int i = 0; i < all.size(); i += 7) {
            List<LineReader.Line> rest =
                    read(file, 50_000, all.get(i).index(), all.get(i).offset());
            assertEquals(all.size() - i, rest.size());
            assertEquals(all.get(i).index(), rest.get(0).index());
            assertArrayEquals(all.get(i).bytes(), rest.get(0).bytes());
        }
        Files.delete(file);
    }
}
