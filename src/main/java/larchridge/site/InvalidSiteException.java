package larchridge.site;

import java.util.List;

/** Thrown for an invalid site file; each error names file, line and field. */
public final class InvalidSiteException extends Exception {
    private static final long serialVersionUID = 1;

    public final transient List<String> errors;

    /** Creates an exception whose message lists all errors. */
    public InvalidSiteException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }
}
