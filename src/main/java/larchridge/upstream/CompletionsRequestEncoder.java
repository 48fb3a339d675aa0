package larchridge.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Encodes attempts as request bodies of the completions API. */
final class CompletionsRequestEncoder {
    /** Field for the transfer of a read state, in requests and responses. */
    static final String TRANSFER_PARAMETERS_FIELD = "kv_transfer_params";

    private static final String REMOTE_DECODE_FIELD = "do_remote_decode";
    private static final String REMOTE_PREFILL_FIELD = "do_remote_prefill";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CompletionsRequestEncoder() {}

    /**
     * Identifies a state held at a reader by the parameters for its transfer.
     *
     * @param transferParameters the reader's transfer parameters, passed on to the writer
     */
    record TransferHandle(JsonNode transferParameters) implements StateHandle {}

    /** Encodes an attempt that reads the prompt and leaves its state at the reader. */
    static ObjectNode encodeRead(AttemptRequest attemptRequest) {
        ObjectNode body = encodeCommon(attemptRequest);
        body.put("max_tokens", 1);
        body.put("stream", false);
        body.putObject(TRANSFER_PARAMETERS_FIELD)
                .put(REMOTE_DECODE_FIELD, true)
                .put(REMOTE_PREFILL_FIELD, false);
        return body;
    }

    /** Encodes an attempt that writes the answer as a stream of events. */
    static ObjectNode encodeWrite(AttemptRequest attemptRequest) {
        ObjectNode body = encodeCommon(attemptRequest);
        body.put("max_tokens", attemptRequest.maxTokens());
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        if (attemptRequest.state() instanceof TransferHandle handle) {
            ObjectNode parameters = handle.transferParameters.deepCopy();
            parameters.put(REMOTE_PREFILL_FIELD, true).put(REMOTE_DECODE_FIELD, false);
            body.set(TRANSFER_PARAMETERS_FIELD, parameters);
        }
        return body;
    }

    /** Encodes the release of the state that an attempt left at an engine. */
    static String encodeRelease(String attemptId) {
        return MAPPER.createObjectNode().put("rid", attemptId).toString();
    }

    private static ObjectNode encodeCommon(AttemptRequest attemptRequest) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", attemptRequest.model());
        body.put("prompt", attemptRequest.prompt());
        if (!attemptRequest.stopSequences().isEmpty()) {
            attemptRequest.stopSequences().forEach(body.putArray("stop")::add);
        }
        AttemptRequest.Sampling sampling = attemptRequest.sampling();
        if (sampling.temperature() != null) {
            body.put("temperature", sampling.temperature());
        }
        if (sampling.topP() != null) {
            body.put("top_p", sampling.topP());
        }
        if (sampling.topK() != null) {
            body.put("top_k", sampling.topK());
        }
        return body;
    }
}
