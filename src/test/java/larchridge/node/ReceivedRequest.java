package larchridge.node;

/** A request that a scripted server has received; connections are numbered from 1. */
record ReceivedRequest(String method, String target, String head, String body, int connection) {
    /** The value of a header, or null. */
    String header(String name) {
        for (String line : head.split("\r\n")) {
            if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return null;
    }
}
