package larchridge.router;

import java.util.ArrayList;
import java.util.List;
import larchridge.budget.Charge;
import larchridge.budget.UsageMeter;
import larchridge.state.Attempt;
import larchridge.state.Generation;

/**
 * A generation that this front has taken, with its client and its trips; a dialect's handle on it.
 */
public final class InFlightRequest {
    final Router front;
    final GenerationRequest ask;
    final ResponseSink client;
    final ResponseGuard duty = new ResponseGuard();
    final List<InFlightAttempt> trips = new ArrayList<>(2);
    final DeadlinePolicy patience;
    final UsageMeter meter;
    Charge charge;
    String billId;

    /** What it asks, where it has no key. */
    String sameAs;

    Generation gen;
    InFlightAttempt streaming;
    boolean paused;
    double pausedMs;
    double lastPieceMs;
    double limitAtMs;
    double wholeAtMs;

    /** Whether its use is in the ledger already, and the waste and attempts of that record. */
    boolean recorded;

    long recordedWaste;
    int recordedAttempts;
    long limitTimer = -1;
    long quietTimer = -1;

    InFlightRequest(
            Router front, GenerationRequest ask, ResponseSink client, DeadlinePolicy patience) {
        this.front = front;
        this.ask = ask;
        this.client = client;
        this.patience = patience;
        meter = new UsageMeter(ask.promptTokens(), ask.maxTokens());
    }

    /** The client has left or broken off. */
    public void clientDisconnected() {
        front.gone(this);
    }

    /** The client takes no more for now. */
    public void pause() {
        front.pause(this);
    }

    public void resume() {
        front.resume(this);
    }

    /** Names the generation in logs and answers. */
    public String id() {
        return gen.id;
    }

    InFlightAttempt tripOf(Attempt attempt) {
        return trips.get(attempt.number);
    }
}
