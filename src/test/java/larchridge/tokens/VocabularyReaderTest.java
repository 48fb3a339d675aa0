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

    private static String bytes() {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 256; i++) {
            all.append(Base64.getEncoder().encodeToString(new byte[] {(byte) i}))
                    .append(' ')
                    .append(i)
                    .append('\n');
        }
        return all.toString();
    }

    private String fault(String text, PretokenizerPattern split) throws Exception {
        Path file = folder.resolve("v");
        Files.writeString(file, text);
        return assertThrows(
                        InvalidVocabularyException.class,
                        () -> VocabularyReader.file("v", file, split))
                .getMessage();
    }

    @Test
    void faultsOfRankFilesNameTheLine() throws Exception {
        assertTrue(
                fault(bytes() + "YWI= 256 9\n", PretokenizerPattern.GPT2)
                        .contains("v:257: expected a token"));
        assertTrue(
                fault(bytes() + "Y?I= 256\n", PretokenizerPattern.GPT2)
                        .contains("v:257: 'Y?I=' is not base64"));
        assertTrue(
                fault(bytes() + "YWI= 7\n", PretokenizerPattern.GPT2)
                        .contains("v:257: rank 7 again"));
        assertTrue(
                fault(bytes() + "YWI= 256\nYWI= 257\n", PretokenizerPattern.GPT2)
                        .contains("the token of line 257 again"));
        assertTrue(fault(bytes(), null).contains("needs split"));
    }

    @Test
    void fileCutShortIsNotTaken() throws Exception {
        assertTrue(
                fault(
                                bytes().substring(0, bytes().indexOf("\n", 900) + 1),
                                PretokenizerPattern.GPT2)
                        .contains("is the file whole?"));
        assertTrue(
                fault(bytes() + "YWI= 256\nYWJj 257", PretokenizerPattern.GPT2)
                        .contains("is the file whole?"));
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
                "{'model':{'vocab':{},'merges':[]}}|pre_tokenizer: none as written is not served",
                "{'pre_tokenizer':{'type':'ByteLevel'},'model':{'vocab':{},'merges':['a b']}}|merge 0: 'ab' is no token",
                "{'pre_tokenizer':{'type':'Split','pattern':{'Regex':'('},'behavior':'Isolated'},'model':{'vocab':{},'merges':[]}}"
                        + "|pre_tokenizer: pattern: ",
            })
    void faultsOfTokenizerFilesNameTheField(String text, String said) throws Exception {
        String got = fault(text.replace('\'', '"'), null);
        assertTrue(got.contains(said), got);
    }

    @Test
    void missingFileIsTold() {
        assertTrue(
                assertThrows(
                                InvalidVocabularyException.class,
                                () ->
                                        VocabularyReader.file(
                                                "v",
                                                folder.resolve("no"),
                                                PretokenizerPattern.GPT2))
                        .getMessage()
                        .contains("can't be read"));
    }
}
