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
 * What an experiment varies: policies, rates (times the script's), engines (times the script's
 * counts), fronts, and seeds. What is left out is as in the script. Policies are choice, the module
 * of this program, and the plain ones.
 */
public final class ExperimentPlan {
    /** One run of a plan. */
    public record Point(String policy, double rate, double engines, int fronts, long seed) {
        /** Names the run in the table of results. */
        String key() {
            return policy + "," + rate + "," + engines + "," + fronts + "," + seed;
        }
    }

    /** A plan that can't be run. */
    public static final class BadPlan extends Exception {
        private static final long serialVersionUID = 1;

        BadPlan(String text) {
            super(text);
        }
    }

    private record Form(
            @JsonProperty("script") String script,
            @JsonProperty("seeds") List<Long> seeds,
            @JsonProperty("policies") List<String> policies,
            @JsonProperty("rates") List<Double> rates,
            @JsonProperty("engines") List<Double> engines,
            @JsonProperty("fronts") List<Integer> fronts) {}

    static final String CHOICE = "choice";
    public final TestScript script;
    final List<String> policies;
    final List<Double> rates;
    public final List<Point> points = new ArrayList<>();

    private ExperimentPlan(TestScript script, Form form) {
        this.script = script;
        policies = form.policies == null ? List.of(CHOICE) : form.policies;
        rates = form.rates == null ? List.of(1.0) : form.rates;
        for (String policy : policies) {
            for (double rate : rates) {
                for (double engines : form.engines == null ? List.of(1.0) : form.engines) {
                    for (int fronts :
                            form.fronts == null ? List.of(script.fronts()) : form.fronts) {
                        for (long seed : form.seeds == null ? List.of(1L, 2L, 3L) : form.seeds) {
                            points.add(new Point(policy, rate, engines, fronts, seed));
                        }
                    }
                }
            }
        }
    }

    /** Reads a plan; its script's path is relative to its folder. */
    public static ExperimentPlan read(Path file) throws BadPlan {
        Form form;
        try {
            form =
                    new ObjectMapper(new YAMLFactory())
                            .readValue(Files.readString(file), Form.class);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new BadPlan(file + ":" + line + ": " + e.getOriginalMessage().split("\n")[0]);
        } catch (IOException e) {
            throw new BadPlan(file + ": can't be read (" + e.getMessage() + ")");
        }
        if (form == null || form.script == null) {
            throw new BadPlan(file + ": script: missing");
        }
        for (String policy : form.policies == null ? List.<String>of() : form.policies) {
            if (!policy.equals(CHOICE) && kind(policy) == null) {
                throw new BadPlan(
                        file
                                + ": policies: '"
                                + policy
                                + "' is not choice, random, round_robin, least_open, "
                                + "power_of_two or prefix_hash");
            }
        }
        try {
            return new ExperimentPlan(
                    TestScriptReader.read(file.toAbsolutePath().resolveSibling(form.script)), form);
        } catch (TestScriptReader.BadScript e) {
            throw new BadPlan(e.getMessage());
        }
    }

    /** The plain policy of this name, or null. */
    static BaselinePolicy.Kind kind(String policy) {
        for (BaselinePolicy.Kind kind : BaselinePolicy.Kind.values()) {
            if (kind.name().equalsIgnoreCase(policy)) {
                return kind;
            }
        }
        return null;
    }
}
