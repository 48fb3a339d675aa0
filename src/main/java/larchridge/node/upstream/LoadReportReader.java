package larchridge.node.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larchridge.settings.DeploymentSettingsReader;
import larchridge.state.LoadReport;

/**
 * Reads load reports: figures by the names that the settings use. What can't be read is no report.
 */
final class LoadReportReader {
    private static final int MOST = 512;
    private static final double HIGHEST = 1e12;

    private final List<String> fields;

    LoadReportReader(List<String> fields) {
        this.fields = fields;
    }

    /** The report in a text such as {@code a=7,b=0.61}, or null. */
    LoadReport read(String text) {
        if (text == null || text.isEmpty() || text.length() > MOST) {
            return null;
        }
        Map<String, Double> named = new HashMap<>();
        for (String pair : text.strip().split(",")) {
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                return null;
            }
            String name = pair.substring(0, equals).strip();
            try {
                double figure = Double.parseDouble(pair.substring(equals + 1).strip());
                if (!(figure >= 0 && figure < HIGHEST)) {
                    return null;
                }
                if (fields.contains(name)) {
                    named.put(name, figure);
                }
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return named.isEmpty()
                ? null
                : DeploymentSettingsReader.report(name -> named.getOrDefault(name, Double.NaN));
    }
}
