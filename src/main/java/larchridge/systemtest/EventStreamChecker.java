package larchridge.systemtest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads an event stream of the messages API as a client does and checks the order of its events
 * against the specification: {@code message_start}, then blocks of {@code content_block_start},
 * deltas and {@code content_block_stop}, then {@code message_delta} and {@code message_stop};
 * {@code ping} anywhere between {@code message_start} and the end, {@code error} as the last event.
 * Shares no code with the router.
 */
public final class EventStreamChecker {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private enum State {
        BEFORE,
        MESSAGE,
        BLOCK,
        AFTER_DELTA,
        OVER
    }

    private final StringBuilder pending = new StringBuilder();
    private State state = State.BEFORE;
    private String fault;
    private boolean stopped;
    private boolean errored;
    private int eventsAfterEnd;
    private final StringBuilder text = new StringBuilder();
    private String stopReason;
    private int outputTokens;
    private int inputTokens;

    /** Appends decoded text, which may be split anywhere. */
    public void append(String part) {
        pending.append(part);
        int end = pending.indexOf("\n\n");
        while (end >= 0) {
            handleEvent(pending.substring(0, end));
            pending.delete(0, end + 2);
            end = pending.indexOf("\n\n");
        }
    }

    private void handleEvent(String frame) {
        String name = null;
        StringBuilder data = new StringBuilder();
        for (String line : frame.split("\n")) {
            if (line.startsWith("event: ")) {
                name = line.substring(7);
            } else if (line.startsWith("data: ")) {
                data.append(line.substring(6));
            } else if (!line.isEmpty() && !line.startsWith(":")) {
                recordFault("line is not a field: " + line);
            }
        }
        JsonNode json;
        try {
            json = MAPPER.readTree(data.toString());
        } catch (JsonProcessingException e) {
            recordFault("data of " + name + " is not JSON");
            return;
        }
        if (name == null || !name.equals(json.path("type").asText())) {
            recordFault("event " + name + " has type " + json.path("type").asText());
        }
        if (state == State.OVER) {
            eventsAfterEnd++;
            return;
        }
        switch (String.valueOf(name)) {
            case "message_start" -> {
                transition(State.BEFORE, State.MESSAGE, name);
                inputTokens = json.path("message").path("usage").path("input_tokens").asInt(-1);
            }
            case "content_block_start" -> transition(State.MESSAGE, State.BLOCK, name);
            case "content_block_delta" -> {
                transition(State.BLOCK, State.BLOCK, name);
                text.append(json.path("delta").path("text").asText());
            }
            case "content_block_stop" -> transition(State.BLOCK, State.MESSAGE, name);
            case "message_delta" -> {
                transition(State.MESSAGE, State.AFTER_DELTA, name);
                stopReason = json.path("delta").path("stop_reason").asText(null);
                outputTokens = json.path("usage").path("output_tokens").asInt(-1);
            }
            case "message_stop" -> {
                transition(State.AFTER_DELTA, State.OVER, name);
                stopped = true;
            }
            case "error" -> {
                errored = true;
                state = State.OVER;
            }
            case "ping" -> {
                if (state == State.BEFORE) {
                    recordFault("ping before message_start");
                }
            }
            default -> recordFault("unknown event " + name);
        }
    }

    private void transition(State from, State to, String name) {
        if (state != from) {
            recordFault(name + " in state " + state);
        }
        state = to;
    }

    private void recordFault(String description) {
        fault = fault == null ? description : fault;
    }

    /** Returns the first deviation from the specification, or null. */
    public String fault() {
        return fault;
    }

    public boolean isStopped() {
        return stopped;
    }

    public boolean isErrored() {
        return errored;
    }

    /** Returns the number of events after the last one that the specification allows. */
    public int eventsAfterEnd() {
        return eventsAfterEnd;
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
