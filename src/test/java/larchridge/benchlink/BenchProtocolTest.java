package larchridge.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The replies to batches of the bench protocol, and the errors for invalid messages. */
class BenchProtocolTest {
    private static final String ENLIST =
            "ENLIST seed=7 env={\"host_types\":[\"a\",\"b\"],"
                    + "\"family_info\":{\"stage_of_kind\":[\"read\",\"write\"]},"
                    + "\"request_classes\":[{\"name\":\"p\",\"repeat\":\"pure\",\"give_up_s\":5}]}\n";
    private static final String ENGINES =
            "BACKENDS_CHANGED kind=FULL entries=2\n"
                    + "ENTRY engine=1 class_of_host=a mode=healthy start_time_s=1 units=1 zone=z\n"
                    + "ENTRY engine=2 class_of_host=b mode=healthy start_time_s=1 units=1 zone=z\n";
    private static final String CALL =
            "CALL job=g service=p n_prompt=100 n_max=10 not_after_s=105.5\n";

    private static String batch(String messages) {
        return "SYNC at_time_s=100\nINSTANCE who=3\n" + messages + "FLUSH\n";
    }

    private static String run(InputStream in) throws IOException, InvalidMessageException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new BenchProtocol(in, out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String run(String input) throws IOException, InvalidMessageException {
        return run(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)));
    }

    private static String errorOf(String input) {
        return assertThrows(InvalidMessageException.class, () -> run(input)).getMessage();
    }

    @Test
    void generationIsReadWrittenAndReleased() throws Exception {
        String replies =
                run(
                        batch(ENLIST + ENGINES + CALL)
                                + batch("REPLY job=g round_no=0 disposition=half_done note=5\n")
                                + batch("REPLY job=g round_no=1 disposition=pass no_more=1\n"));
        assertEquals(
                "FOR who=3\nHAND_OFF job=g engine=1\nWAKE_ME alarm_time_s=100.020000 label=w\nNEXT\n"
                        + "FOR who=3\nHAND_OFF job=g engine=2\nNEXT\n"
                        + "FOR who=3\nUNPIN job=g\nNEXT\n",
                replies);
    }

    @Test
    void fragmentedInputWithCarriageReturnsGivesTheSameReplies() throws Exception {
        String input = batch(ENLIST + ENGINES + CALL);
        byte[] bytes = input.replace("\n", "\r\n").getBytes(StandardCharsets.UTF_8);
        InputStream oneByteEach =
                new ByteArrayInputStream(bytes) {
                    @Override
                    public synchronized int read(byte[] into, int offset, int length) {
                        return super.read(into, offset, Math.min(1, length));
                    }
                };
        assertEquals(run(input), run(oneByteEach));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "REPLY job=g round_no=x|line 9: REPLY: member round_no is 'x'; expected a whole number",
                "REPLY round_no=0|line 9: REPLY: member job is missing; expected text",
                "REPLY job=g round_no=0 disposition=odd|"
                        + "line 9: REPLY: member disposition is 'odd'; expected half_done, pass, "
                        + "fault, no_room, too_slow, no_route, cut, undone or stale_send",
                "REPLY job=g round_no=0 no_more=2 disposition=pass|"
                        + "line 9: REPLY: member no_more is '2'; expected 1 or 0",
                "REPLY job=g round_no=0 disposition=pass pressure=depth:x|"
                        + "line 9: REPLY: member pressure is 'depth:x'; expected pairs of a name and a number",
                "CALL job=h service=q|line 9: CALL: member service is 'q'; expected a name in request_classes",
                "CALL job=h service=p not_after_s=1e999|"
                        + "line 9: CALL: member not_after_s is '1e999'; expected a number",
                "BACKENDS_CHANGED kind=ODD|line 9: BACKENDS_CHANGED: member kind is 'ODD'; "
                        + "expected INCREMENTAL, FULL, SAVED or FAILED",
                "BACKENDS_CHANGED kind=FULL entries=1|"
                        + "line 10: FLUSH: expected 1 ENTRY lines after BACKENDS_CHANGED, found 0",
                "ENLIST seed=1 env={|line 9: ENLIST: member env is not valid JSON; expected an object "
                        + "(Unexpected end-of-input: expected close marker for Object (start marker at "
                        + "[Source: REDACTED (`StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION` disabled); "
                        + "line: 1, column: 1]))",
                "ENLIST seed=1 env=[]|line 9: ENLIST: member env: not a JSON object; expected an object",
            })
    void errorsNameLineMessageAndMember(String message, String error) {
        assertEquals(error, errorOf(batch(ENLIST + ENGINES + CALL + "ELAPSED\n" + message + "\n")));
    }

    @Test
    void messagesOutOfOrderAreRejected() {
        assertEquals("line 1: FLUSH: a batch begins with SYNC", errorOf("FLUSH\n"));
        assertEquals(
                "line 2: CALL: no INSTANCE line before it; expected INSTANCE who=...",
                errorOf("SYNC at_time_s=1\n" + CALL + "FLUSH\n"));
        assertEquals(
                "line 3: CALL: instance 3 is not started; expected ENLIST first",
                errorOf(batch(CALL)));
        assertEquals(
                "line 2: the input ends inside a batch; expected FLUSH",
                errorOf("SYNC at_time_s=1\n"));
    }
}
