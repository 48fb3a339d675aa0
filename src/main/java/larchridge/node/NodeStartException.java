package larchridge.node;

/** Thrown if a node can't start; the message gives the reason. */
public class NodeStartException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception with the reason why the node can't start. */
    public NodeStartException(String problem) {
        super(problem);
    }
}
