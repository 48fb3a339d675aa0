package larchridge.node.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larchridge.settings.DeploymentSettingsReader;
import larchridge.state.LoadReport;

/** Reads load reports: figures under the names that the settings use. */
final class LoadReportReader {
    private static final int MAX_REPORT_CHARACTERS = 512;
    private static final double IMPLAUSIBLE_VALUE = 1e12;

    private final List<String> fields;

    LoadReportReader(List<String> fields) {
        this.fields = fields;
    }

    /** Reads a text such as {@code a=7,b=0.61}; null if it is not a valid report. */
    LoadReport read(String text) {
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
                : DeploymentSettingsReader.report(name -> values.getOrDefault(name, Double.NaN));
    }
}
