package larchridge.site;

import java.util.List;

/** A site file that can't be served; each fault names file, line and field. */
public final class InvalidSiteException extends Exception {
    private static final long serialVersionUID = 1;

    public final transient List<String> faults;

    public InvalidSiteException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }
}
