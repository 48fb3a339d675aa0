package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A discovery agent: the whole list, and watches. It answers with what it has been sent. */
final class StandInAgent extends StandInServer {
    private long index = 41;
    private List<String> entries;

    /** The entries that changed, by the version that changed them; empty if lists are always sent whole. */
    private final TreeMap<Long, List<String>> changes = new TreeMap<>();

    StandInAgent(List<String> entries) throws IOException {
        super(0);
        this.entries = new ArrayList<>(entries);
    }

    /** A new version of the list. */
    synchronized void set(long newIndex, List<String> newEntries) {
        index = newIndex;
        entries = new ArrayList<>(newEntries);
        notifyAll();
    }

    /** A new version, of which watches are sent the changed entries. */
    synchronized void change(List<String> changed, List<String> newEntries) {
        index++;
        changes.put(index, changed);
        entries = new ArrayList<>(newEntries);
        notifyAll();
    }

    private String newerThan(long after) {
        if (changes.isEmpty() || changes.firstKey() > after + 1) {
            return snapshot();
        }
        List<String> changed = new ArrayList<>();
        changes.tailMap(after, false).values().forEach(changed::addAll);
        return "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + String.join(",", changed) + "]}";
    }

    synchronized String snapshot() {
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    @Override
    void answer(Message request, Link link) throws IOException {
        String target = request.target();
        String body;
        synchronized (this) {
            if (target.contains("after=")) {
                long after = Long.parseLong(target.replaceAll(".*after=(\\d+).*", "$1"));
                double end = Kit.nowMs() + Double.parseDouble(target.replaceAll(".*wait_ms=(\\d+).*", "$1"));
                while (index <= after && Kit.nowMs() < end) {
                    try {
                        wait(Math.max(1, (long) (end - Kit.nowMs())));
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                body = index > after
                        ? newerThan(after)
                        : "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[]}";
            } else {
                body = snapshot();
            }
        }
        link.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }
}
