package larchridge.node.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larchridge.settings.DeploymentSettingsReader;
import larchridge.state.LoadReport;

/** Reads load reports: figures under the names that the settings use. */
final class LoadReportReader {
    private static final int MAX_CHARACTERS = 512;
    private static final double MAX_FIGURE = 1e12;

    private final List<String> fields;

    LoadReportReader(List<String> fields) {
        this.fields = fields;
    }

    /** Reads a text such as {@code a=7,b=0.61}; null if it is not a valid report. */
    LoadReport read(String text) {
        if (text == null || text.isEmpty() || text.length() > MAX_CHARACTERS) {
            return null;
        }
        Map<String, Double> figures = new HashMap<>();
        for (String pair : text.strip().split(",")) {
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                return null;
            }
            String name = pair.substring(0, equals).strip();
            try {
                double figure = Double.parseDouble(pair.substring(equals + 1).strip());
                if (!(figure >= 0 && figure < MAX_FIGURE)) {
                    return null;
                }
                if (fields.contains(name)) {
                    figures.put(name, figure);
                }
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return figures.isEmpty()
                ? null
                : DeploymentSettingsReader.report(name -> figures.getOrDefault(name, Double.NaN));
    }
}
