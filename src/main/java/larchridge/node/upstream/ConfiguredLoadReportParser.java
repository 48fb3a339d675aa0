package larchridge.node.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larchridge.settings.DeploymentSettingsReader;
import larchridge.state.LoadReport;

/** Parses load reports, keeping the metrics that are named in the settings. */
final class ConfiguredLoadReportParser {
    private static final int MAX_REPORT_CHARACTERS = 512;

    /** Values at or above this make the report invalid. */
    private static final double IMPLAUSIBLE_VALUE = 1e12;

    private final List<String> fields;

    ConfiguredLoadReportParser(List<String> fields) {
        this.fields = fields;
    }

    /** Parses text such as {@code a=7,b=0.61}; returns null if it is not a valid report. */
    LoadReport parse(String text) {
        if (text == null || text.isEmpty() || text.length() > MAX_REPORT_CHARACTERS) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : text.strip().split(",")) {
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                return null;
            }
            String name = pair.substring(0, equals).strip();
            try {
                double value = Double.parseDouble(pair.substring(equals + 1).strip());
                if (!(value >= 0 && value < IMPLAUSIBLE_VALUE)) {
                    return null;
                }
                if (fields.contains(name)) {
                    values.put(name, value);
                }
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return values.isEmpty()
                ? null
                : DeploymentSettingsReader.toLoadReport(
                        name -> values.getOrDefault(name, Double.NaN));
    }
}
