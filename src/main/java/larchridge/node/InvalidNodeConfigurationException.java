package larchridge.node;

/**
 * A configuration with which a node can't start; the message names file, member and what was
 * expected.
 */
public final class InvalidNodeConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidNodeConfigurationException(String what) {
        super(what);
    }
}
