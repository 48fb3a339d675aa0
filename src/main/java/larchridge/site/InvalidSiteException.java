package larchridge.site;

import java.util.List;

/** A site file that can't be served; each fault names file, line and field. */
public final class InvalidSiteException extends Exception {
    private static final long serialVersionUID = 1;

    public final transient List<String> errors;

    public InvalidSiteException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }
}
