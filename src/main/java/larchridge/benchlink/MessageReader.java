package larchridge.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads messages, one on each line: a name followed by members {@code name=value}. Members are
 * located in the line's bytes, so that nothing is allocated for a message until a text is
 * requested. The accessors refer to the current message.
 */
final class MessageReader {
    private static final int MAX_MEMBERS = 64;
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int INITIAL_LINE_BYTES = 1 << 10;

    /** Integers with more digits could overflow a long. */
    private static final int MAX_INTEGER_DIGITS = 18;

    /**
     * No digit is added to a value that has reached this: with more digits, scaling a long is less
     * exact than {@link Double#parseDouble}.
     */
    private static final long MAX_FAST_VALUE = 100_000_000_000_000L;

    private final InputStream in;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int bufferEnd;
    private int bufferPosition;

    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    private long lineNumber;

    private int nameEnd;
    private final int[] memberStarts = new int[MAX_MEMBERS];
    private final int[] equalsSigns = new int[MAX_MEMBERS];
    private final int[] memberEnds = new int[MAX_MEMBERS];
    private int memberCount;

    MessageReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of the input. */
    boolean advance() throws IOException {
        if (!readLine()) {
            return false;
        }
        lineNumber++;
        if (lineLength > 0 && line[lineLength - 1] == '\r') {
            lineLength--;
        }
        locateMembers();
        return true;
    }

    /** Reads up to a line feed or the end of the input; false if there is no more input. */
    private boolean readLine() throws IOException {
        lineLength = 0;
        while (true) {
            if (bufferPosition == bufferEnd && !fillBuffer()) {
                return lineLength > 0;
            }
            int end = bufferPosition;
            while (end < bufferEnd && buffer[end] != '\n') {
                end++;
            }
            appendToLine(bufferPosition, end);
            if (end < bufferEnd) {
                bufferPosition = end + 1;
                return true;
            }
            bufferPosition = end;
        }
    }

    private boolean fillBuffer() throws IOException {
        bufferEnd = in.read(buffer, 0, buffer.length);
        bufferPosition = 0;
        if (bufferEnd <= 0) {
            bufferEnd = 0;
            return false;
        }
        return true;
    }

    private void appendToLine(int from, int to) {
        int additional = to - from;
        if (lineLength + additional > line.length) {
            line = Arrays.copyOf(line, Math.max(line.length * 2, lineLength + additional));
        }
        System.arraycopy(buffer, from, line, lineLength, additional);
        lineLength += additional;
    }

    private void locateMembers() {
        int at = 0;
        while (at < lineLength && line[at] != ' ') {
            at++;
        }
        nameEnd = at;
        memberCount = 0;
        while (at < lineLength && memberCount < MAX_MEMBERS) {
            while (at < lineLength && line[at] == ' ') {
                at++;
            }
            int start = at;
            int equalsSign = -1;
            while (at < lineLength && line[at] != ' ') {
                if (equalsSign < 0 && line[at] == '=') {
                    equalsSign = at;
                }
                at++;
            }
            if (equalsSign > start) {
                memberStarts[memberCount] = start;
                equalsSigns[memberCount] = equalsSign;
                memberEnds[memberCount] = at;
                memberCount++;
            }
        }
    }

    /** Whether the line is empty. */
    boolean isEmpty() {
        return lineLength == 0;
    }

    /** Whether the message has this name. */
    boolean is(String name) {
        return matches(0, nameEnd, name);
    }

    /** The name of the message. */
    String name() {
        return text(0, nameEnd);
    }

    /** The number of the current line, counted from 1. */
    long lineNumber() {
        return lineNumber;
    }

    /** Whether the message has this member. */
    boolean has(String member) {
        return find(member) >= 0;
    }

    /** A required member as text. */
    String text(String member) throws InvalidMessageException {
        int index = require(member, "text");
        return text(equalsSigns[index] + 1, memberEnds[index]);
    }

    /** A member as text, or the fallback if it is missing. */
    String textOr(String member, String fallback) {
        int index = find(member);
        return index < 0 ? fallback : text(equalsSigns[index] + 1, memberEnds[index]);
    }

    /** The value of a member that extends to the end of the line. */
    String textToLineEnd(String member) throws InvalidMessageException {
        int index = require(member, "text to the end of the line");
        return text(equalsSigns[index] + 1, lineLength);
    }

    /** Whether a required member has this value. */
    boolean valueIs(String member, String value) throws InvalidMessageException {
        int index = require(member, "a word");
        return matches(equalsSigns[index] + 1, memberEnds[index], value);
    }

    /** A required member as a number. */
    double decimal(String member) throws InvalidMessageException {
        return parseDecimal(member, require(member, "a number"));
    }

    /** A member as a number, or the fallback if it is missing. */
    double decimalOr(String member, double fallback) throws InvalidMessageException {
        int index = find(member);
        return index < 0 ? fallback : parseDecimal(member, index);
    }

    /** A required member as an integer. */
    long integer(String member) throws InvalidMessageException {
        return parseInteger(member, require(member, "a whole number"));
    }

    /** A member as an integer, or the fallback if it is missing. */
    long integerOr(String member, long fallback) throws InvalidMessageException {
        int index = find(member);
        return index < 0 ? fallback : parseInteger(member, index);
    }

    /** A member that is 1 or 0; a missing one is false. */
    boolean flag(String member) throws InvalidMessageException {
        int index = find(member);
        if (index < 0) {
            return false;
        }
        if (memberEnds[index] - equalsSigns[index] == 2) {
            byte b = line[equalsSigns[index] + 1];
            if (b == '1' || b == '0') {
                return b == '1';
            }
        }
        throw unexpected(member, index, "1 or 0");
    }

    /** The value of a name in a list of pairs such as a:1,b:2; NaN if it is not listed. */
    double pair(String member, String name) throws InvalidMessageException {
        int index = find(member);
        if (index < 0) {
            return Double.NaN;
        }
        int at = equalsSigns[index] + 1;
        while (at < memberEnds[index]) {
            int colon = at;
            while (colon < memberEnds[index] && line[colon] != ':') {
                colon++;
            }
            int end = colon;
            while (end < memberEnds[index] && line[end] != ',') {
                end++;
            }
            if (matches(at, colon, name)) {
                double value = parseDecimal(Math.min(colon + 1, end), end);
                if (Double.isNaN(value)) {
                    throw unexpected(member, index, "pairs of a name and a number");
                }
                return value;
            }
            at = end + 1;
        }
        return Double.NaN;
    }

    /** An exception that names the current line and message. */
    InvalidMessageException invalid(String problem) {
        return new InvalidMessageException(lineNumber, name() + ": " + problem);
    }

    private double parseDecimal(String member, int index) throws InvalidMessageException {
        double value = parseDecimal(equalsSigns[index] + 1, memberEnds[index]);
        if (Double.isNaN(value)) {
            throw unexpected(member, index, "a number");
        }
        return value;
    }

    private long parseInteger(String member, int index) throws InvalidMessageException {
        int at = equalsSigns[index] + 1;
        boolean negative = at < memberEnds[index] && line[at] == '-';
        if (negative) {
            at++;
        }
        if (at == memberEnds[index] || memberEnds[index] - at > MAX_INTEGER_DIGITS) {
            throw unexpected(
                    member, index, "a whole number of at most " + MAX_INTEGER_DIGITS + " digits");
        }
        long value = 0;
        for (; at < memberEnds[index]; at++) {
            int digit = line[at] - '0';
            if (digit < 0 || digit > 9) {
                throw unexpected(member, index, "a whole number");
            }
            value = value * 10 + digit;
        }
        return negative ? -value : value;
    }

    /**
     * A number in the current line, or NaN. Plain decimals are parsed here, without allocation;
     * those with an exponent or too many digits are parsed by {@link Double#parseDouble}.
     */
    private double parseDecimal(int from, int to) {
        int at = from;
        boolean negative = at < to && line[at] == '-';
        if (negative) {
            at++;
        }
        long unscaledValue = 0;
        double scale = 1;
        boolean pointSeen = false;
        boolean anyDigit = false;
        for (; at < to; at++) {
            byte b = line[at];
            if (b >= '0' && b <= '9' && unscaledValue < MAX_FAST_VALUE) {
                unscaledValue = unscaledValue * 10 + (b - '0');
                anyDigit = true;
                if (pointSeen) {
                    scale *= 10;
                }
            } else if (b == '.' && !pointSeen) {
                pointSeen = true;
            } else {
                return parseByLibrary(from, to);
            }
        }
        if (!anyDigit) {
            return Double.NaN;
        }
        double value = unscaledValue / scale;
        return negative ? -value : value;
    }

    private double parseByLibrary(int from, int to) {
        try {
            double value = Double.parseDouble(text(from, to));
            return Double.isInfinite(value) ? Double.NaN : value;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private int require(String member, String expected) throws InvalidMessageException {
        int index = find(member);
        if (index < 0) {
            throw invalid("member " + member + " is missing; expected " + expected);
        }
        return index;
    }

    private InvalidMessageException unexpected(String member, int index, String expected) {
        return invalid(
                "member "
                        + member
                        + " is '"
                        + text(equalsSigns[index] + 1, memberEnds[index])
                        + "'; expected "
                        + expected);
    }

    /** The index of a member, or -1. */
    private int find(String member) {
        for (int i = 0; i < memberCount; i++) {
            if (matches(memberStarts[i], equalsSigns[i], member)) {
                return i;
            }
        }
        return -1;
    }

    private boolean matches(int from, int to, String word) {
        int length = word.length();
        if (to - from != length) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if (line[from + i] != word.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private String text(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.UTF_8);
    }
}
