package larchridge.tokens;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class VocabularyReaderTest {
    @TempDir Path folder;

    private static String singleByteRanks() {
        StringBuilder ranks = new StringBuilder();
        for (int i = 0; i < 256; i++) {
            ranks.append(Base64.getEncoder().encodeToString(new byte[] {(byte) i}))
                    .append(' ')
                    .append(i)
                    .append('\n');
        }
        return ranks.toString();
    }

    private String errorMessage(String text, PretokenizerPattern pretokenizer) throws Exception {
        Path file = folder.resolve("v");
        Files.writeString(file, text);
        return assertThrows(
                        InvalidVocabularyException.class,
                        () -> VocabularyReader.readFile("v", file, pretokenizer))
                .getMessage();
    }

    @Test
    void rankFileErrorsNameTheLine() throws Exception {
        assertTrue(
                errorMessage(singleByteRanks() + "YWI= 256 9\n", PretokenizerPattern.GPT2)
                        .contains("v:257: expected a token"));
        assertTrue(
                errorMessage(singleByteRanks() + "Y?I= 256\n", PretokenizerPattern.GPT2)
                        .contains("v:257: 'Y?I=' is not base64"));
        assertTrue(
                errorMessage(singleByteRanks() + "YWI= 7\n", PretokenizerPattern.GPT2)
                        .contains("v:257: duplicate rank 7"));
        assertTrue(
                errorMessage(singleByteRanks() + "YWI= 256\nYWI= 257\n", PretokenizerPattern.GPT2)
                        .contains("v:258: duplicate of the token on line 257"));
        assertTrue(
                errorMessage(singleByteRanks(), null)
                        .contains("a rank file requires the field split"));
    }

    @Test
    void truncatedFileIsRejected() throws Exception {
        assertTrue(
                errorMessage(
                                singleByteRanks()
                                        .substring(0, singleByteRanks().indexOf("\n", 900) + 1),
                                PretokenizerPattern.GPT2)
                        .contains("; the file may be truncated"));
        assertTrue(
                errorMessage(singleByteRanks() + "YWI= 256\nYWJj 257", PretokenizerPattern.GPT2)
                        .contains("; the file may be truncated"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{'model':|v:1: Unexpected end-of-input",
                "{'model':{'type':'Unigram'}}|model: expected type BPE",
                "{'normalizer':{'type':'Lowercase'},'model':{'vocab':{},'merges':[]}}|normalizer.type: 'Lowercase'",
                "{'model':{'vocab':{},'merges':['a']}}|model.merges[0]: expected two tokens",
                "{'model':{'vocab':{},'merges':[]}}|pre_tokenizer: none is not supported as configured",
                "{'pre_tokenizer':{'type':'ByteLevel'},'model':{'vocab':{},'merges':['a b']}}|model.merges[0]: 'ab' is not in vocab",
                "{'pre_tokenizer':{'type':'Split','pattern':{'Regex':'('},'behavior':'Isolated'},'model':{'vocab':{},'merges':[]}}"
                        + "|pre_tokenizer: pattern: ",
            })
    void tokenizerJsonErrorsNameTheField(String text, String expected) throws Exception {
        String message = errorMessage(text.replace('\'', '"'), null);
        assertTrue(message.contains(expected), message);
    }

    @Test
    void missingFileIsReported() {
        assertTrue(
                assertThrows(
                                InvalidVocabularyException.class,
                                () ->
                                        VocabularyReader.readFile(
                                                "v",
                                                folder.resolve("no"),
                                                PretokenizerPattern.GPT2))
                        .getMessage()
                        .contains("can't be read"));
    }
}
