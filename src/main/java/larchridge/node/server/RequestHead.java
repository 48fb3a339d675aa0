package larchridge.node.server;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * What a client's head says of its generation. A head with any fault is told in words; nothing of
 * it is guessed.
 *
 * @param id the request's own id
 * @param product name of the product
 * @param session name of the conversation, or null
 * @param deadlineMs how long the client waits for the first token, from when it sent the request
 * @param prefix name of the opening that other conversations share, or null
 * @param promptTokens length of the prompt
 * @param sharedTokens length of the shared opening, within the prompt
 * @param maxTokens the most that the answer may hold
 * @param resent whether the client says that it asks again
 */
record RequestHead(
        String id,
        String product,
        String session,
        double deadlineMs,
        String prefix,
        int promptTokens,
        int sharedTokens,
        int maxTokens,
        boolean resent) {
    static final String ID = "Req-Id";
    private static final int MOST_TOKS = 10_000_000;
    private static final long MOST_MS = 86_400_000;
    private static final int NAME = 128;

    /** A head that can't be used. */
    static final class BadHead extends Exception {
        private static final long serialVersionUID = 1;

        BadHead(String what) {
            super(what);
        }
    }

    static RequestHead read(HttpHeaders head) throws BadHead {
        String id = one(head, ID);
        if (id == null || !id.matches("[0-9a-fA-F]{16}")) {
            throw new BadHead("Req-Id: expected 16 hex digits");
        }
        String product = name(head, "Req-Kind");
        if (product == null) {
            throw new BadHead("Req-Kind: missing; expected a class");
        }
        String session = name(head, "Req-Key");
        long deadline = whole(one(head, "Req-Deadline-Ms"), "Req-Deadline-Ms", MOST_MS);
        if (deadline <= 0) {
            throw new BadHead("Req-Deadline-Ms: expected milliseconds over 0");
        }
        String prefix = null;
        int prompt = -1;
        int shared = 0;
        int most = -1;
        String extra = one(head, "Req-Extra");
        if (extra != null) {
            for (String pair : extra.split(",")) {
                int equals = pair.indexOf('=');
                String key = equals < 0 ? pair.strip() : pair.substring(0, equals).strip();
                String value = equals < 0 ? "" : pair.substring(equals + 1).strip();
                switch (key) {
                    case "prefix" ->
                            prefix = value.isEmpty() || value.length() > NAME ? null : value;
                    case "prompt_len" ->
                            prompt = (int) whole(value, "Req-Extra: prompt_len", MOST_TOKS);
                    case "prefix_len" ->
                            shared = (int) whole(value, "Req-Extra: prefix_len", MOST_TOKS);
                    case "max_out" -> most = (int) whole(value, "Req-Extra: max_out", MOST_TOKS);
                    default -> {}
                }
            }
        }
        if (prompt < 0 || most < 0) {
            throw new BadHead("Req-Extra: expected prompt_len and max_out");
        }
        String again = one(head, "Req-Retry");
        return new RequestHead(
                id,
                product,
                session == null ? id : session,
                deadline,
                prefix,
                prompt,
                Math.min(shared, prompt),
                most,
                again != null);
    }

    private static String one(HttpHeaders head, String name) throws BadHead {
        java.util.List<String> all = head.getAll(name);
        if (all.size() > 1) {
            throw new BadHead(name + ": given twice");
        }
        return all.isEmpty() ? null : all.get(0).strip();
    }

    private static String name(HttpHeaders head, String name) throws BadHead {
        String value = one(head, name);
        if (value != null && (value.isEmpty() || value.length() > NAME)) {
            throw new BadHead(name + ": expected a name of 1 to " + NAME + " characters");
        }
        return value;
    }

    private static long whole(String text, String name, long most) throws BadHead {
        if (text == null
                || text.isEmpty()
                || text.length() > 18
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new BadHead(name + ": expected a whole number");
        }
        long value = Long.parseLong(text);
        if (value > most) {
            throw new BadHead(name + ": expected at most " + most);
        }
        return value;
    }
}
