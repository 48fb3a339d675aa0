package larchridge.audit;

/** Whom a connection goes to. */
public enum ConnectionSide {
    CLIENT,
    ENGINE
}
