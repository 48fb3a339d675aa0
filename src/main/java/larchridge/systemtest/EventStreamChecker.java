package larchridge.systemtest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads an event stream of the messages API as a client would and checks its order against the
 * specification: {@code message_start}, then blocks of {@code content_block_start}, deltas and
 * {@code content_block_stop}, then {@code message_delta} and {@code message_stop}; {@code ping}
 * anywhere before the end, {@code error} as a last event. Shares no code with the front.
 */
public final class EventStreamChecker {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private enum Place {
        BEFORE,
        MESSAGE,
        BLOCK,
        AFTER_DELTA,
        OVER
    }

    private final StringBuilder pending = new StringBuilder();
    private Place place = Place.BEFORE;
    private String fault;
    private boolean stopped;
    private boolean errored;
    private int afterEnd;
    private final StringBuilder text = new StringBuilder();
    private String stopReason;
    private int outputTokens;
    private int inputTokens;

    /** Takes decoded text as it came, cut anywhere. */
    public void take(String part) {
        pending.append(part);
        int end = pending.indexOf("\n\n");
        while (end >= 0) {
            event(pending.substring(0, end));
            pending.delete(0, end + 2);
            end = pending.indexOf("\n\n");
        }
    }

    private void event(String frame) {
        String name = null;
        StringBuilder data = new StringBuilder();
        for (String line : frame.split("\n")) {
            if (line.startsWith("event: ")) {
                name = line.substring(7);
            } else if (line.startsWith("data: ")) {
                data.append(line.substring(6));
            } else if (!line.isEmpty() && !line.startsWith(":")) {
                wrong("a line that is no field: " + line);
            }
        }
        JsonNode json;
        try {
            json = MAPPER.readTree(data.toString());
        } catch (JsonProcessingException e) {
            wrong("data of " + name + " is no JSON");
            return;
        }
        if (name == null || !name.equals(json.path("type").asText())) {
            wrong("event " + name + " carries type " + json.path("type").asText());
        }
        if (place == Place.OVER) {
            afterEnd++;
            return;
        }
        switch (String.valueOf(name)) {
            case "message_start" -> {
                step(Place.BEFORE, Place.MESSAGE, name);
                inputTokens = json.path("message").path("usage").path("input_tokens").asInt(-1);
            }
            case "content_block_start" -> step(Place.MESSAGE, Place.BLOCK, name);
            case "content_block_delta" -> {
                step(Place.BLOCK, Place.BLOCK, name);
                text.append(json.path("delta").path("text").asText());
            }
            case "content_block_stop" -> step(Place.BLOCK, Place.MESSAGE, name);
            case "message_delta" -> {
                step(Place.MESSAGE, Place.AFTER_DELTA, name);
                stopReason = json.path("delta").path("stop_reason").asText(null);
                outputTokens = json.path("usage").path("output_tokens").asInt(-1);
            }
            case "message_stop" -> {
                step(Place.AFTER_DELTA, Place.OVER, name);
                stopped = true;
            }
            case "error" -> {
                errored = true;
                place = Place.OVER;
            }
            case "ping" -> {
                if (place == Place.BEFORE) {
                    wrong("ping before message_start");
                }
            }
            default -> wrong("unknown event " + name);
        }
    }

    private void step(Place from, Place to, String name) {
        if (place != from) {
            wrong(name + " in place " + place);
        }
        place = to;
    }

    private void wrong(String what) {
        fault = fault == null ? what : fault;
    }

    /** The first departure from the specification, or null. */
    public String fault() {
        return fault;
    }

    public boolean isStopped() {
        return stopped;
    }

    public boolean isErrored() {
        return errored;
    }

    /** Events after the last one. */
    public int afterEnd() {
        return afterEnd;
    }

    public String text() {
        return text.toString();
    }

    public String stopReason() {
        return stopReason;
    }

    public int outputTokens() {
        return outputTokens;
    }

    public int inputTokens() {
        return inputTokens;
    }
}
