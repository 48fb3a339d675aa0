package larchridge.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import larchridge.messages.ApiException;
import org.junit.jupiter.api.Test;

class BatchLineCodecTest {
    private static JsonNode json(String text) throws Exception {
        return BatchFixture.MAPPER.readTree(text.replace('\'', '"'));
    }

    @Test
    void chatRequestIsConvertedToMessagesRequest() throws Exception {
        assertEquals(
                json(
                        "{'model':'m','temperature':1.5,'max_tokens':7,'stop_sequences':['x'],'system':[{'type':'text',"
                                + "'text':'be brief'}],'messages':[{'role':'user','content':'a'},{'role':'assistant','content':'b'},"
                                + "{'role':'user','content':[{'type':'text','text':'c'}]}]}"),
                BatchLineCodec.chatToMessages(
                        json(
                                "{'model':'m',"
                                        + "'temperature':1.5,'max_completion_tokens':7,'stop':'x','messages':[{'role':'system','content':'be brief'},"
                                        + "{'role':'user','content':'a'},{'role':'assistant','content':'b'},{'role':'user','content':[{'type':"
                                        + "'text','text':'c'}]}]}")));
    }

    @Test
    void unsupportedChatFieldIsNamedInTheError() throws Exception {
        for (String[] testCase :
                new String[][] {
                    {"{'model':'m','messages':[]}", "max_completion_tokens: Field required"},
                    {"{'model':'m','max_tokens':1,'n':2,'messages':[]}", "n: only 1 is served"},
                    {
                        "{'model':'m','max_tokens':1,'stream':true,'messages':[]}",
                        "stream: a batch answers in one piece"
                    },
                    {
                        "{'model':'m','max_tokens':1,'messages':[{'role':'tool','content':'x'}]}",
                        "messages.0.role: 'tool' is not system, developer, user or assistant"
                    },
                    {
                        "{'model':'m','max_tokens':1,'messages':[{'role':'user','content':[{'type':'image_url'}]}]}",
                        "messages.0.content.0.type: only text is served here"
                    }
                }) {
            assertEquals(
                    testCase[1],
                    assertThrows(
                                    ApiException.class,
                                    () -> BatchLineCodec.chatToMessages(json(testCase[0])))
                            .getMessage());
        }
    }
}
