package larchridge.terms;

/** A settings object that can't be used; the message names the member and what was expected. */
public final class BadTerms extends Exception {
    private static final long serialVersionUID = 1;

    public BadTerms(String what) {
        super(what);
    }
}
