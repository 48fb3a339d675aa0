package larchridge.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads the wire line by line and finds members in the line's bytes without cutting it up. */
final class MessageReader {
    private static final int MAX_MEMBERS = 64;

    private final InputStream in;
    private final byte[] buffer = new byte[1 << 16];
    private int have;
    private int next;

    private byte[] bytes = new byte[1 << 10];
    private int length;
    private long number;

    private int nameEnd;
    private final int[] starts = new int[MAX_MEMBERS];
    private final int[] equals = new int[MAX_MEMBERS];
    private final int[] ends = new int[MAX_MEMBERS];
    private int members;

    MessageReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of input. */
    boolean advance() throws IOException {
        length = 0;
        while (true) {
            if (next == have) {
                have = in.read(buffer, 0, buffer.length);
                next = 0;
                if (have <= 0) {
                    have = 0;
                    if (length == 0) {
                        return false;
                    }
                    break;
                }
            }
            int end = next;
            while (end < have && buffer[end] != '\n') {
                end++;
            }
            append(next, end);
            if (end < have) {
                next = end + 1;
                break;
            }
            next = end;
        }
        number++;
        if (length > 0 && bytes[length - 1] == '\r') {
            length--;
        }
        split();
        return true;
    }

    private void append(int from, int to) {
        int more = to - from;
        if (length + more > bytes.length) {
            bytes = java.util.Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + more));
        }
        System.arraycopy(buffer, from, bytes, length, more);
        length += more;
    }

    private void split() {
        int at = 0;
        while (at < length && bytes[at] != ' ') {
            at++;
        }
        nameEnd = at;
        members = 0;
        while (at < length && members < MAX_MEMBERS) {
            while (at < length && bytes[at] == ' ') {
                at++;
            }
            int start = at;
            int sign = -1;
            while (at < length && bytes[at] != ' ') {
                if (sign < 0 && bytes[at] == '=') {
                    sign = at;
                }
                at++;
            }
            if (sign > start) {
                starts[members] = start;
                equals[members] = sign;
                ends[members] = at;
                members++;
            }
        }
    }

    boolean isEmpty() {
        return length == 0;
    }

    boolean is(String name) {
        return same(0, nameEnd, name);
    }

    String name() {
        return text(0, nameEnd);
    }

    long number() {
        return number;
    }

    boolean has(String member) {
        return find(member) >= 0;
    }

    String text(String member) throws InvalidMessageException {
        int i = need(member, "text");
        return text(equals[i] + 1, ends[i]);
    }

    String textOr(String member, String fallback) {
        int i = find(member);
        return i < 0 ? fallback : text(equals[i] + 1, ends[i]);
    }

    /** The value of a member that goes on to the end of the line. */
    String rest(String member) throws InvalidMessageException {
        int i = need(member, "text to the end of the line");
        return text(equals[i] + 1, length);
    }

    boolean valueIs(String member, String value) throws InvalidMessageException {
        int i = need(member, "a word");
        return same(equals[i] + 1, ends[i], value);
    }

    double decimal(String member) throws InvalidMessageException {
        return parseDecimal(member, need(member, "a number"));
    }

    double decimalOr(String member, double fallback) throws InvalidMessageException {
        int i = find(member);
        return i < 0 ? fallback : parseDecimal(member, i);
    }

    long whole(String member) throws InvalidMessageException {
        return parseWhole(member, need(member, "a whole number"));
    }

    long wholeOr(String member, long fallback) throws InvalidMessageException {
        int i = find(member);
        return i < 0 ? fallback : parseWhole(member, i);
    }

    boolean flag(String member) throws InvalidMessageException {
        int i = find(member);
        if (i < 0) {
            return false;
        }
        if (ends[i] - equals[i] == 2) {
            byte b = bytes[equals[i] + 1];
            if (b == '1' || b == '0') {
                return b == '1';
            }
        }
        throw wrong(member, i, "1 or 0");
    }

    /** The figure under a name in a list of pairs such as a:1,b:2; NaN where it is not told. */
    double pair(String member, String name) throws InvalidMessageException {
        int i = find(member);
        if (i < 0) {
            return Double.NaN;
        }
        int at = equals[i] + 1;
        while (at < ends[i]) {
            int colon = at;
            while (colon < ends[i] && bytes[colon] != ':') {
                colon++;
            }
            int end = colon;
            while (end < ends[i] && bytes[end] != ',') {
                end++;
            }
            if (same(at, colon, name)) {
                double value = parse(Math.min(colon + 1, end), end);
                if (Double.isNaN(value)) {
                    throw wrong(member, i, "pairs of a name and a number");
                }
                return value;
            }
            at = end + 1;
        }
        return Double.NaN;
    }

    InvalidMessageException bad(String what) {
        return new InvalidMessageException(number, name() + ": " + what);
    }

    private double parseDecimal(String member, int i) throws InvalidMessageException {
        double value = parse(equals[i] + 1, ends[i]);
        if (Double.isNaN(value)) {
            throw wrong(member, i, "a number");
        }
        return value;
    }

    private long parseWhole(String member, int i) throws InvalidMessageException {
        int at = equals[i] + 1;
        boolean minus = at < ends[i] && bytes[at] == '-';
        if (minus) {
            at++;
        }
        if (at == ends[i] || ends[i] - at > 18) {
            throw wrong(member, i, "a whole number");
        }
        long value = 0;
        for (; at < ends[i]; at++) {
            int digit = bytes[at] - '0';
            if (digit < 0 || digit > 9) {
                throw wrong(member, i, "a whole number");
            }
            value = value * 10 + digit;
        }
        return minus ? -value : value;
    }

    /**
     * Plain decimals are read here; anything with an exponent or too many digits goes to the
     * library.
     */
    private double parse(int from, int to) {
        int at = from;
        boolean minus = at < to && bytes[at] == '-';
        if (minus) {
            at++;
        }
        long digits = 0;
        double scale = 1;
        boolean point = false;
        boolean any = false;
        for (; at < to; at++) {
            byte b = bytes[at];
            if (b >= '0' && b <= '9' && digits < 100_000_000_000_000L) {
                digits = digits * 10 + (b - '0');
                any = true;
                if (point) {
                    scale *= 10;
                }
            } else if (b == '.' && !point) {
                point = true;
            } else {
                return parseSlowly(from, to);
            }
        }
        if (!any) {
            return Double.NaN;
        }
        double value = digits / scale;
        return minus ? -value : value;
    }

    private double parseSlowly(int from, int to) {
        try {
            double value = Double.parseDouble(text(from, to));
            return Double.isInfinite(value) ? Double.NaN : value;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private int need(String member, String expected) throws InvalidMessageException {
        int i = find(member);
        if (i < 0) {
            throw bad("member " + member + " is missing; expected " + expected);
        }
        return i;
    }

    private InvalidMessageException wrong(String member, int i, String expected) {
        return bad(
                "member "
                        + member
                        + " is '"
                        + text(equals[i] + 1, ends[i])
                        + "'; expected "
                        + expected);
    }

    private int find(String member) {
        for (int i = 0; i < members; i++) {
            if (same(starts[i], equals[i], member)) {
                return i;
            }
        }
        return -1;
    }

    private boolean same(int from, int to, String word) {
        int size = word.length();
        if (to - from != size) {
            return false;
        }
        for (int i = 0; i < size; i++) {
            if (bytes[from + i] != word.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private String text(int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.UTF_8);
    }
}
