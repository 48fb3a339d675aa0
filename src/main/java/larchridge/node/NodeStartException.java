package larchridge.node;

/** A node that can't start; the message says why. */
public class NodeStartException extends Exception {
    private static final long serialVersionUID = 1;

    /** Says why the node can't start. */
    public NodeStartException(String problem) {
        super(problem);
    }
}
