package larchridge.tokens;

/** Counts tokens as one family of engines does. Any thread may use it. */
public interface Vocabulary {
    /** The name by which the site file calls it. */
    String name();

    /** Tokens of a text; the marks of special tokens are counted as the engines count them. */
    int count(String text);

    /** No token has more bytes than this. */
    int maxTokenBytes();
}
