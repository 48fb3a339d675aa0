package larchridge.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import larchridge.baseline.BaselinePolicy;
import larchridge.systemtest.TestScript;
import larchridge.systemtest.TestScriptReader;

/**
 * The parameters that an experiment varies: routing policies, request rates and engine counts (both
 * as factors of the script's), numbers of routers, and seeds. Rates, engines and routers that the
 * plan omits are the script's. Policies are {@code choice}, the routing policy of this program, and
 * the names of {@link BaselinePolicy.Kind} in lower case.
 */
public final class ExperimentPlan {
    /** One run of a plan. */
    public record RunParameters(
            String policy, double rateFactor, double engineFactor, int routers, long seed) {
        /** Identifies the run in the results file, as the first columns of its row. */
        String key() {
            return policy + "," + rateFactor + "," + engineFactor + "," + routers + "," + seed;
        }
    }

    /** Thrown for a plan that can't be run. */
    public static final class InvalidPlanException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidPlanException(String message) {
            super(message);
        }
    }

    private record PlanFile(
            @JsonProperty("script") String script,
            @JsonProperty("seeds") List<Long> seeds,
            @JsonProperty("policies") List<String> policies,
            @JsonProperty("rates") List<Double> rates,
            @JsonProperty("engines") List<Double> engines,
            @JsonProperty("fronts") List<Integer> routers) {}

    /** The name of this program's routing policy in plans and results. */
    static final String ROUTING_POLICY = "choice";

    public final TestScript script;
    final List<String> policies;
    final List<Double> rates;
    public final List<RunParameters> runs = new ArrayList<>();

    private ExperimentPlan(TestScript script, PlanFile file) {
        this.script = script;
        policies = file.policies == null ? List.of(ROUTING_POLICY) : file.policies;
        rates = file.rates == null ? List.of(1.0) : file.rates;
        for (String policy : policies) {
            for (double rateFactor : rates) {
                for (double engineFactor : file.engines == null ? List.of(1.0) : file.engines) {
                    for (int routers :
                            file.routers == null ? List.of(script.routers()) : file.routers) {
                        for (long seed : file.seeds == null ? List.of(1L, 2L, 3L) : file.seeds) {
                            runs.add(
                                    new RunParameters(
                                            policy, rateFactor, engineFactor, routers, seed));
                        }
                    }
                }
            }
        }
    }

    /** Reads a plan; the path of its script is relative to the plan's folder. */
    public static ExperimentPlan read(Path path) throws InvalidPlanException {
        PlanFile file;
        try {
            file =
                    new ObjectMapper(new YAMLFactory())
                            .readValue(Files.readString(path), PlanFile.class);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new InvalidPlanException(
                    path + ":" + line + ": " + e.getOriginalMessage().split("\n")[0]);
        } catch (IOException e) {
            throw new InvalidPlanException(path + ": can't be read (" + e.getMessage() + ")");
        }
        if (file == null || file.script == null) {
            throw new InvalidPlanException(path + ": script: missing");
        }
        for (String policy : file.policies == null ? List.<String>of() : file.policies) {
            if (!policy.equals(ROUTING_POLICY) && baselineKind(policy) == null) {
                throw new InvalidPlanException(
                        path
                                + ": policies: '"
                                + policy
                                + "' is not choice, random, round_robin, least_open, "
                                + "power_of_two or prefix_hash");
            }
        }
        try {
            return new ExperimentPlan(
                    TestScriptReader.read(path.toAbsolutePath().resolveSibling(file.script)), file);
        } catch (TestScriptReader.InvalidTestScriptException e) {
            throw new InvalidPlanException(e.getMessage());
        }
    }

    /** Returns the baseline policy with this name, or null. */
    static BaselinePolicy.Kind baselineKind(String policy) {
        for (BaselinePolicy.Kind kind : BaselinePolicy.Kind.values()) {
            if (kind.name().equalsIgnoreCase(policy)) {
                return kind;
            }
        }
        return null;
    }
}
