package larchridge.messages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import larchridge.site.InvalidSiteException;
import larchridge.site.SiteReader;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MessagesParserTest {
    private MessagesParser parser;

    @BeforeEach
    void site() throws InvalidSiteException {
        parser =
                new MessagesParser(
                        SiteReader.read(
                                "s",
                                """
                listen { port: 1 }
                guest: "g"
                inventory { file: "e" }
                product { name: "p" model: "m" effect: IDEMPOTENT slo_ms: 1 time_limit_ms: 2 most_tokens: 500 }
                limits { nesting: 12 messages: 4 }
                """,
                                Path.of("/x")));
    }

    private MessagesParser.Body parse(String json) throws ApiException {
        return parser.parse(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{'model':'m','max_tokens':1|body: not valid JSON at line 1",
                "[]|body: expected a JSON object",
                "{'model':'m','max_tokens':1,'max_tokens':2,'messages':[]}|body: not valid JSON",
                "{'max_tokens':1,'messages':[]}|model: Field required",
                "{'model':'m','messages':[]}|max_tokens: Field required",
                "{'model':'m','max_tokens':0,'messages':[]}|max_tokens: expected a whole number of at least 1",
                "{'model':'m','max_tokens':501,'messages':[]}|max_tokens: 501 > 500",
                "{'model':'m','max_tokens':1}|messages: Field required",
                "{'model':'m','max_tokens':1,'messages':[]}|messages: at least one",
                "{'model':'m','max_tokens':1,'messages':[1,2,3,4,5]}|messages: 5 items; at most 4",
                "{'model':'m','max_tokens':1,'messages':[{'role':'system','content':'a'}]}|messages.0.role: 'system'",
                "{'model':'m','max_tokens':1,'messages':[{'role':'assistant','content':'a'}]}|messages.0.role: first",
                "{'model':'m','max_tokens':1,'messages':[{'role':'user'}]}|messages.0.content: Field required",
                "{'model':'m','max_tokens':1,'messages':[{'role':'user','content':[{'type':'x'}]}]}|messages.0.content.0.type",
                "{'model':'m','max_tokens':1,'messages':[{'role':'user','content':[{'type':'text'}]}]}|"
                        + "messages.0.content.0.text: Field required",
                "{'model':'m','max_tokens':1,'temperature':2,'messages':[{'role':'user','content':'a'}]}|temperature: expected",
                "{'model':'m','max_tokens':1,'stream':'yes','messages':[{'role':'user','content':'a'}]}|stream: expected",
                "{'model':'m','max_tokens':1,'stop_sequences':[' '],'messages':[{'role':'user','content':'a'}]}|"
                        + "stop_sequences.0",
                "{'model':'m','max_tokens':1,'tool_choice':{'type':'auto'},'messages':[{'role':'user','content':'a'}]}|"
                        + "tool_choice: needs tools",
                "{'model':'m','max_tokens':1,'tools':[{'name':'t'}],'messages':[]}|tools.0.input_schema: Field required",
                "{'model':'m','max_tokens':1,'x':[[[[[[[[[[[[1]]]]]]]]]]]],'messages':[]}|body: not valid JSON"
            })
    void errorNamesItsField(String json, String expected) {
        ApiException exception = assertThrows(ApiException.class, () -> parse(json));
        assertEquals(400, exception.status);
        assertTrue(exception.getMessage().startsWith(expected), exception.getMessage());
    }

    @Test
    void unknownModelIsNotFound() {
        assertEquals(404, assertThrows(ApiException.class, () -> parse("{'model':'z'}")).status);
    }

    @Test
    void previousTurnDigestMatchesThePreviousTurn() throws ApiException {
        MessagesParser.Body first =
                parse(
                        "{'model':'m','max_tokens':1,'system':'s','messages':["
                                + "{'role':'user','content':'hola'}]}");
        MessagesParser.Body second =
                parse(
                        "{'model':'m','max_tokens':1,'system':'s','messages':["
                                + "{'role':'user','content':'hola'},{'role':'assistant','content':'x'},{'role':'user','content':'y'}]}");
        assertNull(first.previousTurnDigest());
        assertEquals(first.turnDigest(), second.previousTurnDigest());
        assertEquals(first.sessionId(), second.sessionId());
        assertEquals(first.sharedPrefixId(), second.sharedPrefixId());
        assertTrue(
                first.sharedPrefixTokens() > 0
                        && first.sharedPrefixTokens() < first.promptTokens());
    }

    @Test
    void cacheControlInTheFirstTurnEndsThePrefixWithoutSystem() throws ApiException {
        String marked =
                "{'model':'m','max_tokens':1,'messages':[{'role':'user','content':["
                        + "{'type':'text','text':'shared','cache_control':{'type':'ephemeral'}},{'type':'text','text':'%s'}]}]}";
        assertEquals(
                parse(marked.formatted("a")).sharedPrefixId(),
                parse(marked.formatted("b")).sharedPrefixId());
        assertNull(
                parse("{'model':'m','max_tokens':1,'messages':[{'role':'user','content':'a'}]}")
                        .sharedPrefixId());
    }

    @Test
    void toolsAndTheirResultsReachThePrompt() throws ApiException {
        MessagesParser.Body body =
                parse(
                        "{'model':'m','max_tokens':1,'tools':[{'name':'t','input_schema':{}}],"
                                + "'messages':[{'role':'user','content':'q'},{'role':'assistant','content':[{'type':'tool_use',"
                                + "'id':'u1','name':'t','input':{'a':1}}]},{'role':'user','content':[{'type':'tool_result',"
                                + "'tool_use_id':'u1','content':'42'}]}]}");
        assertTrue(
                body.prompt().contains("u1 t {\"a\":1}") && body.prompt().contains("u1 42"),
                body.prompt());
    }
}
