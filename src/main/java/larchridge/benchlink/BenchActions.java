package larchridge.benchlink;

import larchridge.policy.PolicyActions;
import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;

/** Writes the actions of one simulated router's policy as lines of the reply. */
final class BenchActions implements PolicyActions {
    private final long instance;
    private final ReplyWriter reply;
    private double nowMs;

    BenchActions(long instance, ReplyWriter reply) {
        this.instance = instance;
        this.reply = reply;
    }

    /** Sets the clock to the time of the current batch. */
    void setNowMs(double batchMs) {
        nowMs = batchMs;
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public void send(Attempt attempt) {
        line("HAND_OFF")
                .text(" job=")
                .text(attempt.generation.id)
                .text(" engine=")
                .integer(attempt.engine.id)
                .end();
    }

    @Override
    public void cancel(Attempt attempt) {
        line("CANCEL")
                .text(" job=")
                .text(attempt.generation.id)
                .text(" round_no=")
                .integer(attempt.number)
                .end();
    }

    @Override
    public void releaseState(Generation generation) {
        line("UNPIN").text(" job=").text(generation.id).end();
    }

    @Override
    public void reject(Generation generation, double retryAfterMs) {
        ReplyWriter line = line("DECLINE").text(" job=").text(generation.id);
        if (retryAfterMs > 0) {
            line.text(" hold_off_s=").seconds(retryAfterMs);
        }
        line.end();
    }

    @Override
    public void fail(Generation generation) {
        line("REPORT_FAILURE").text(" job=").text(generation.id).end();
    }

    @Override
    public void probeLoad(Engine engine) {
        line("INSPECT").text(" engine=").integer(engine.id).end();
    }

    @Override
    public void wakeAt(double atMs) {
        line("WAKE_ME").text(" alarm_time_s=").seconds(atMs).text(" label=w").end();
    }

    @Override
    public void watchEndpoints() {
        line("TAIL").text(" on=1").end();
    }

    @Override
    public void log(String text) {
        line("EMIT").text(" message=").text(toSingleLine(text)).end();
    }

    /** Reports an exception of the policy, so that the bench ends the run and shows the cause. */
    void reportException(RuntimeException exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        String location = trace.length > 0 ? " at " + trace[0] : "";
        line("BROKEN").text(" message=").text(toSingleLine(exception + location)).end();
    }

    private ReplyWriter line(String name) {
        return reply.line(instance, name);
    }

    private static String toSingleLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
