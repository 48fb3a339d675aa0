package larchridge.benchlink;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larchridge.policy.RoutingPolicy;
import larchridge.settings.DeploymentSettings;
import larchridge.settings.DeploymentSettingsReader;
import larchridge.settings.InvalidSettingsException;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.CachedPrefix;
import larchridge.state.EndpointState;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.LoadReport;
import larchridge.state.PrefixRegistry;
import larchridge.state.Role;
import larchridge.state.TenantQuota;
import larchridge.state.TrafficClass;

/**
 * One simulated router: translates the messages addressed to it into events of its routing policy,
 * and keeps the generations and engines that messages refer to by id.
 */
final class BenchRouter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double MS_PER_SECOND = 1000;

    /** Value of member note in a rejection because the state to be fetched is missing. */
    private static final int NOTE_NO_STATE = 1;

    private final long instance;
    private final BenchActions actions;
    private double nowMs;

    /** Settings of the current or last run; null before the first. */
    private DeploymentSettings settings;

    /** Policy of the current run; null outside a run. */
    private RoutingPolicy policy;

    private final Map<String, Generation> generations = new HashMap<>();
    private final Map<Long, Engine> engines = new HashMap<>();
    private final Map<String, CachedPrefix> sessionPrefixes = new PrefixRegistry();
    private final Map<String, CachedPrefix> sharedPrefixes = new PrefixRegistry();

    BenchRouter(long instance, ReplyWriter reply) {
        this.instance = instance;
        this.actions = new BenchActions(instance, reply);
    }

    /** Handles the current message and its ENTRY lines; the current time is that of the batch. */
    void handle(MessageReader messageReader, double batchMs) throws InvalidMessageException {
        nowMs = batchMs;
        actions.setNowMs(batchMs);
        if (messageReader.is("ENLIST")) {
            tearDown();
            settings = readSettings(messageReader);
            callPolicy(() -> policy = new RoutingPolicy(settings.routing(), actions));
            return;
        }
        if (messageReader.is("TEARDOWN")) {
            tearDown();
            return;
        }
        if (policy == null) {
            throw messageReader.invalid(
                    "instance " + instance + " is not started; expected ENLIST first");
        }
        switch (messageReader.name()) {
            case "CALL" -> requestArrived(messageReader);
            case "REPLY" -> attemptReplied(messageReader);
            case "BEGUN" -> responseStarted(messageReader);
            case "ELAPSED" -> callPolicy(policy::wakeUp);
            case "TIMED_OUT_CLIENT" -> clientDisconnected(messageReader);
            case "BACKENDS_CHANGED" -> endpointsChanged(messageReader);
            case "PROBED" -> loadProbed(messageReader);
            default -> {}
        }
    }

    private static DeploymentSettings readSettings(MessageReader messageReader)
            throws InvalidMessageException {
        try {
            return DeploymentSettingsReader.read(
                    MAPPER.readTree(messageReader.textToLineEnd("env")),
                    messageReader.integer("seed"));
        } catch (JsonProcessingException e) {
            throw messageReader.invalid(
                    "member env is not valid JSON; expected an object ("
                            + e.getOriginalMessage()
                            + ")");
        } catch (InvalidSettingsException e) {
            throw messageReader.invalid("member env: " + e.getMessage());
        }
    }

    private void tearDown() {
        policy = null;
        generations.clear();
        engines.clear();
        sessionPrefixes.clear();
        sharedPrefixes.clear();
    }

    /** Calls the policy; reports an exception to the bench, which ends the run and shows it. */
    private void callPolicy(Runnable policyCall) {
        try {
            policyCall.run();
        } catch (RuntimeException e) {
            actions.reportException(e);
        }
    }

    private void requestArrived(MessageReader messageReader) throws InvalidMessageException {
        String id = messageReader.text("job");
        TrafficClass trafficClass = settings.trafficClasses().get(messageReader.text("service"));
        if (trafficClass == null) {
            throw messageReader.invalid(
                    "member service is '"
                            + messageReader.text("service")
                            + "'; expected a name in request_classes");
        }
        TenantQuota tenantQuota = settings.tenants().get(messageReader.textOr("tenant", ""));
        CachedPrefix sessionPrefix =
                cachedPrefix(sessionPrefixes, messageReader.textOr("talk", null));
        CachedPrefix sharedPrefix =
                cachedPrefix(sharedPrefixes, messageReader.textOr("prefix", null));
        double expectedOutputTokens =
                messageReader.decimalOr("expected_s", Double.NaN)
                        * MS_PER_SECOND
                        / trafficClass.targetTokenIntervalMs;
        Generation generation =
                new Generation(
                        id,
                        trafficClass,
                        tenantQuota,
                        sessionPrefix,
                        sharedPrefix,
                        (int) messageReader.integerOr("n_prompt", 0),
                        (int) messageReader.integerOr("shared_len", 0),
                        (int) messageReader.integerOr("n_max", 0),
                        expectedOutputTokens,
                        messageReader.flag("resent"),
                        nowMs,
                        messageReader.decimal("not_after_s") * MS_PER_SECOND);
        generations.put(id, generation);
        callPolicy(() -> policy.requestArrived(generation));
        removeIfEnded(id, generation);
    }

    /** The cached prefix with this id; null if the id is missing or is "0", which means none. */
    private static CachedPrefix cachedPrefix(Map<String, CachedPrefix> registry, String id) {
        return id == null || id.equals("0")
                ? null
                : registry.computeIfAbsent(id, CachedPrefix::new);
    }

    private void attemptReplied(MessageReader messageReader) throws InvalidMessageException {
        String id = messageReader.text("job");
        Generation generation = generations.get(id);
        int number = (int) messageReader.integer("round_no");
        if (generation == null || number < 0 || number >= generation.attempts().size()) {
            return;
        }
        Attempt attempt = generation.attempts().get(number);
        boolean generationFinished = messageReader.flag("no_more");
        LoadReport report = loadReport(messageReader);
        String disposition = messageReader.text("disposition");
        // The number of cached tokens if the read completed; otherwise the reason of a rejection.
        int note = (int) messageReader.decimalOr("note", 0);
        if (disposition.equals("half_done")) {
            callPolicy(() -> policy.readCompleted(attempt, note, report, generationFinished));
        } else {
            AttemptOutcome outcome = outcome(messageReader, disposition, note);
            callPolicy(() -> policy.attemptEnded(attempt, outcome, report, generationFinished));
        }
        removeIfEnded(id, generation);
    }

    private static AttemptOutcome outcome(
            MessageReader messageReader, String disposition, int rejectionReason)
            throws InvalidMessageException {
        return switch (disposition) {
            case "pass" -> AttemptOutcome.STREAMED;
            case "fault" -> AttemptOutcome.FAULT;
            case "no_room" ->
                    rejectionReason == NOTE_NO_STATE
                            ? AttemptOutcome.NO_STATE
                            : AttemptOutcome.FULL;
            case "too_slow" -> AttemptOutcome.TIMED_OUT;
            case "no_route" -> AttemptOutcome.UNREACHABLE;
            case "cut" -> AttemptOutcome.CUT;
            case "undone" -> AttemptOutcome.CANCELLED;
            case "stale_send" -> AttemptOutcome.NOT_SENT;
            default ->
                    throw messageReader.invalid(
                            "member disposition is '"
                                    + disposition
                                    + ("'; expected half_done, pass, fault, no_room, too_slow,"
                                            + " no_route, cut, undone or stale_send"));
        };
    }

    private void responseStarted(MessageReader messageReader) throws InvalidMessageException {
        Generation generation = generations.get(messageReader.text("job"));
        int number = (int) messageReader.integer("round_no");
        if (generation != null && number >= 0 && number < generation.attempts().size()) {
            callPolicy(() -> policy.responseStarted(generation.attempts().get(number)));
        }
    }

    private void clientDisconnected(MessageReader messageReader) throws InvalidMessageException {
        String id = messageReader.text("job");
        Generation generation = generations.get(id);
        if (generation != null) {
            callPolicy(() -> policy.generationAbandoned(generation));
            removeIfEnded(id, generation);
        }
    }

    private void loadProbed(MessageReader messageReader) throws InvalidMessageException {
        Engine engine = engines.get(messageReader.integer("engine"));
        if (engine != null) {
            boolean answered = messageReader.valueIs("disposition", "pass");
            LoadReport report = loadReport(messageReader);
            callPolicy(() -> policy.loadProbed(engine, answered, report));
        }
    }

    private void endpointsChanged(MessageReader messageReader) throws InvalidMessageException {
        String kind = messageReader.text("kind");
        long count = messageReader.integerOr("entries", 0);
        List<EndpointUpdate> updates = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!advance(messageReader) || !messageReader.is("ENTRY")) {
                throw messageReader.invalid(
                        "expected " + count + " ENTRY lines after BACKENDS_CHANGED, found " + i);
            }
            updates.add(endpointUpdate(messageReader));
        }
        switch (kind) {
            case "INCREMENTAL" -> callPolicy(() -> policy.endpointsChanged(updates, false));
            case "FULL", "SAVED" -> callPolicy(() -> policy.endpointsChanged(updates, true));
            case "FAILED" -> callPolicy(policy::endpointWatchFailed);
            default ->
                    throw messageReader.invalid(
                            "member kind is '"
                                    + kind
                                    + "'; expected INCREMENTAL, FULL, SAVED or FAILED");
        }
        engines.values()
                .removeIf(
                        engine ->
                                engine.state() == EndpointState.REMOVED
                                        && engine.attempts().isEmpty());
    }

    private static boolean advance(MessageReader messageReader) throws InvalidMessageException {
        try {
            return messageReader.advance();
        } catch (IOException e) {
            throw messageReader.invalid("could not read the input: " + e.getMessage());
        }
    }

    private EndpointUpdate endpointUpdate(MessageReader messageReader)
            throws InvalidMessageException {
        long id = messageReader.integer("engine");
        String hostType = messageReader.textOr("class_of_host", "");
        EndpointState state = endpointState(messageReader);
        Engine engine = engines.get(id);
        if (engine == null) {
            engine = new Engine(id);
            engines.put(id, engine);
        }
        return new EndpointUpdate(
                engine,
                state,
                messageReader.decimalOr("start_time_s", 0) * MS_PER_SECOND,
                messageReader.decimalOr("units", 1),
                messageReader.textOr("zone", ""),
                messageReader.integerOr("group", 0),
                settings.roles().getOrDefault(hostType, Role.BOTH),
                settings.memoryTokens().getOrDefault(hostType, Double.NaN));
    }

    private static EndpointState endpointState(MessageReader messageReader)
            throws InvalidMessageException {
        return switch (messageReader.text("mode")) {
            case "healthy" -> EndpointState.READY;
            case "cordoned" -> EndpointState.DRAINING;
            case "deregistered" -> EndpointState.REMOVED;
            default ->
                    throw messageReader.invalid(
                            "member mode is '"
                                    + messageReader.text("mode")
                                    + "'; expected healthy, cordoned or deregistered");
        };
    }

    /** The load report of a message, or null if it carries none. */
    private static LoadReport loadReport(MessageReader messageReader)
            throws InvalidMessageException {
        if (!messageReader.has("pressure")) {
            return null;
        }
        return DeploymentSettingsReader.toLoadReport(name -> messageReader.pair("pressure", name));
    }

    /** Removes a generation if no later message can refer to it. */
    private void removeIfEnded(String id, Generation generation) {
        if (generation.isFinished() && generation.attemptsInFlight() == 0) {
            generations.remove(id);
        }
    }
}
