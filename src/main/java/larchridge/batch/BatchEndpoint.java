package larchridge.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import larchridge.site.BatchSettings;
import larchridge.site.Site;
import larchridge.store.Store;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.BatchState;
import larchridge.store.proto.FileRecord;
import larchridge.store.proto.InputError;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP endpoint of the Files and Batches API, as OpenAI's API reference describes it. Each
 * request occupies one thread, which runs all accesses to batches and all changes of the store's
 * records on the batch event loop and waits for them.
 */
final class BatchEndpoint extends Handler.Abstract {
    private static final Logger LOG = LoggerFactory.getLogger(BatchEndpoint.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_JSON_BODY_BYTES = 64 << 10;

    /** The most bytes of an upload that are not the file: boundaries, headers, other parts. */
    private static final int MAX_FORM_OVERHEAD_BYTES = 64 << 10;

    private static final int MAX_METADATA_ENTRIES = 16;
    private static final long LOOP_CALL_TIMEOUT_MS = 30_000;
    private static final long MAX_WINDOW_MS = 30L * 24 * 3600 * 1000;
    private static final Pattern WINDOW_PATTERN = Pattern.compile("([1-9]\\d{0,5})([smhd])");
    private static final Map<String, Long> UNIT_MS =
            Map.of("s", 1000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);

    private final Site site;
    private final BatchSettings settings;
    private final BatchService service;

    BatchEndpoint(Site site, BatchService service) {
        this.site = site;
        this.service = service;
        settings = site.batchSettings;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        try {
            route(request, response);
            callback.succeeded();
        } catch (BatchApiException error) {
            sendError(response, callback, error);
        } catch (IOException e) {
            LOG.warn("a request to the batch API failed", e);
            if (response.isCommitted()) {
                callback.failed(e);
            } else {
                sendError(
                        response,
                        callback,
                        BatchApiException.internalError(
                                "the call could not be carried out; nothing of it was kept"));
            }
        }
        return true;
    }

    private static void sendError(Response response, Callback callback, BatchApiException error) {
        ObjectNode body = MAPPER.createObjectNode();
        body.putObject("error")
                .put("message", error.getMessage())
                .put("type", error.type)
                .put("param", error.field)
                .putNull("code");
        response.setStatus(error.status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        // The rest of the request body is not read.
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        if (error.status == 503) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, "1");
        }
        response.write(
                true, ByteBuffer.wrap(body.toString().getBytes(StandardCharsets.UTF_8)), callback);
    }

    private void route(Request request, Response response) throws BatchApiException, IOException {
        String[] path = Request.getPathInContext(request).split("/");
        Site.Tenant tenant = authenticate(request);
        String collection = path.length > 2 && path[1].equals("v1") ? path[2] : "";
        String id = path.length > 3 ? path[3] : null;
        String action = path.length > 4 ? path[4] : null;
        boolean post = request.getMethod().equals("POST");
        boolean get = request.getMethod().equals("GET");
        if (collection.equals("files") && id == null && post) {
            upload(request, response, tenant);
        } else if (collection.equals("files") && id == null && get) {
            list(request, response, tenant, 'f', 10_000);
        } else if (collection.equals("files") && action == null && get) {
            sendJson(response, fileJson(requireFile(id, tenant)));
        } else if (collection.equals("files") && "content".equals(action) && get) {
            sendContent(response, requireFile(id, tenant));
        } else if (collection.equals("files")
                && action == null
                && request.getMethod().equals("DELETE")) {
            deleteFile(response, requireFile(id, tenant));
        } else if (collection.equals("batches") && id == null && post) {
            createBatch(request, response, tenant);
        } else if (collection.equals("batches") && id == null && get) {
            list(request, response, tenant, 'b', 100);
        } else if (collection.equals("batches") && action == null && get) {
            sendJson(response, batchJson(id, tenant));
        } else if (collection.equals("batches") && "cancel".equals(action) && post) {
            cancelBatch(response, requireBatch(id, tenant));
        } else if (collection.equals("files") || collection.equals("batches")) {
            throw BatchApiException.methodNotAllowed();
        } else {
            throw BatchApiException.notFound("path");
        }
    }

    private Site.Tenant authenticate(Request request) throws BatchApiException {
        String key = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        key =
                key != null && key.regionMatches(true, 0, "Bearer ", 0, 7)
                        ? key.substring(7).strip()
                        : request.getHeaders().get("x-api-key");
        Site.Tenant tenant = key == null && site.guest == null ? null : site.tenantByKey(key);
        if (tenant == null) {
            throw BatchApiException.invalidApiKey();
        }
        return tenant;
    }

    // ------------------------------------------------------------------ files

    private void upload(Request request, Response response, Site.Tenant tenant)
            throws BatchApiException, IOException {
        if (request.getLength() > settings.maxFileBytes + MAX_FORM_OVERHEAD_BYTES) {
            throw BatchApiException.tooLarge(
                    "the file is over " + settings.maxFileBytes + " bytes");
        }
        Store store = service.store();
        callOnLoop(
                batches -> {
                    checkQuota(
                            store,
                            tenant,
                            Math.max(0, request.getLength() - MAX_FORM_OVERHEAD_BYTES));
                    return null;
                });
        try (MultipartUpload upload =
                        new MultipartUpload(store::createIncomingFile, settings.maxFileBytes);
                InputStream body = Content.Source.asInputStream(request)) {
            upload.read(request.getHeaders().get(HttpHeader.CONTENT_TYPE), body);
            if (!upload.purpose().equals("batch")) {
                throw BatchApiException.invalid(
                        "purpose",
                        "'" + upload.purpose() + "' is not batch, the only purpose served");
            }
            sendJson(
                    response,
                    fileJson(
                            callOnLoop(
                                    batches -> {
                                        checkQuota(store, tenant, upload.file().bytes());
                                        return store.addFile(
                                                upload.file(),
                                                tenant.name(),
                                                upload.fileName(),
                                                upload.purpose(),
                                                (long) service.nowMs());
                                    })));
        }
    }

    private void checkQuota(Store store, Site.Tenant tenant, long addedBytes)
            throws BatchApiException {
        if (store.storedBytes(tenant.name()) + addedBytes > settings.maxTenantBytes
                || store.storedFiles(tenant.name()) >= settings.maxTenantFiles) {
            throw BatchApiException.overQuota(
                    "kept are "
                            + store.storedBytes(tenant.name())
                            + " bytes in "
                            + store.storedFiles(tenant.name())
                            + " files; allowed are "
                            + settings.maxTenantBytes
                            + " in "
                            + settings.maxTenantFiles
                            + "; delete some");
        }
    }

    private FileRecord requireFile(String id, Site.Tenant tenant)
            throws BatchApiException, IOException {
        // File records are read on this thread: only their changes and the active batches belong to
        // the event loop.
        FileRecord file = service.store().file(id);
        if (file == null || !file.getTenant().equals(tenant.name())) {
            throw BatchApiException.notFound("file: " + id);
        }
        return file;
    }

    private void sendContent(Response response, FileRecord file)
            throws IOException, BatchApiException {
        try (FileChannel channel = service.store().openContent(file)) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/octet-stream");
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, file.getBytes());
            try (OutputStream out = Content.Sink.asOutputStream(response)) {
                ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
                // Guards against: a slow client occupies a thread; its connection is closed once it
                // has read nothing for idle_connection_ms.
                for (int count = channel.read(buffer);
                        count >= 0;
                        count = channel.read(buffer.clear())) {
                    out.write(buffer.array(), 0, count);
                }
            }
        }
    }

    private void deleteFile(Response response, FileRecord file)
            throws BatchApiException, IOException {
        Store.Deletion deletion = callOnLoop(batches -> service.store().deleteFile(file.getId()));
        if (deletion == Store.Deletion.INPUT_IN_USE) {
            throw BatchApiException.conflict("a batch that is not over reads this file");
        }
        if (deletion == Store.Deletion.NO_SUCH_FILE) {
            throw BatchApiException.notFound("file: " + file.getId());
        }
        sendJson(
                response,
                MAPPER.createObjectNode()
                        .put("id", file.getId())
                        .put("object", "file")
                        .put("deleted", true));
    }

    // ------------------------------------------------------------------ batches

    private void createBatch(Request request, Response response, Site.Tenant tenant)
            throws BatchApiException, IOException {
        JsonNode body = readBody(request);
        FileRecord input = requireFile(requiredText(body, "input_file_id"), tenant);
        if (!input.getPurpose().equals("batch")) {
            throw BatchApiException.invalid(
                    "input_file_id", "the file's purpose is " + input.getPurpose() + ", not batch");
        }
        String endpoint = requiredText(body, "endpoint");
        if (!endpoint.equals(BatchLineCodec.CHAT_COMPLETIONS_ENDPOINT)
                && !endpoint.equals(BatchLineCodec.MESSAGES_ENDPOINT)) {
            throw BatchApiException.invalid(
                    "endpoint",
                    "'"
                            + endpoint
                            + "' is not "
                            + BatchLineCodec.CHAT_COMPLETIONS_ENDPOINT
                            + " or "
                            + BatchLineCodec.MESSAGES_ENDPOINT);
        }
        String window = requiredText(body, "completion_window");
        Matcher matcher = WINDOW_PATTERN.matcher(window);
        long windowMs =
                matcher.matches()
                        ? Long.parseLong(matcher.group(1)) * UNIT_MS.get(matcher.group(2))
                        : 0;
        if (windowMs <= 0 || windowMs > MAX_WINDOW_MS) {
            throw BatchApiException.invalid(
                    "completion_window", "'" + window + "' is not a time like 24h, 30d at most");
        }
        Map<String, String> metadata = metadata(body.path("metadata"));
        sendJson(
                response,
                callOnLoop(
                        batches -> {
                            // Guards against: the file may have been deleted since it was looked
                            // up.
                            if (service.store().file(input.getId()) == null) {
                                throw BatchApiException.notFound("file: " + input.getId());
                            }
                            long nowMs = (long) service.nowMs();
                            return toJson(
                                    batches,
                                    batches.create(
                                            BatchRecord.newBuilder()
                                                    .setTenant(tenant.name())
                                                    .setInput(input.getId())
                                                    .setEndpoint(endpoint)
                                                    .setWindow(window)
                                                    .setCreatedMs(nowMs)
                                                    .setExpiresMs(nowMs + windowMs)
                                                    .putAllMetadata(metadata)));
                        }));
    }

    private static Map<String, String> metadata(JsonNode node) throws BatchApiException {
        Map<String, String> metadata = new TreeMap<>();
        if (node.isMissingNode() || node.isNull()) {
            return metadata;
        }
        if (!node.isObject() || node.size() > MAX_METADATA_ENTRIES) {
            throw BatchApiException.invalid(
                    "metadata", "expected an object of at most " + MAX_METADATA_ENTRIES + " texts");
        }
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            if (!entry.getValue().isTextual()
                    || entry.getKey().length() > 64
                    || entry.getValue().asText().length() > 512) {
                throw BatchApiException.invalid(
                        "metadata." + entry.getKey(),
                        "expected a key of 64 and a text of 512 characters at most");
            }
            metadata.put(entry.getKey(), entry.getValue().asText());
        }
        return metadata;
    }

    private BatchRecord requireBatch(String id, Site.Tenant tenant)
            throws BatchApiException, IOException {
        return callOnLoop(batches -> requireBatchOnLoop(batches, id, tenant));
    }

    private static BatchRecord requireBatchOnLoop(Batches batches, String id, Site.Tenant tenant)
            throws BatchApiException, IOException {
        BatchRecord batch = batches.batch(id);
        if (batch == null || !batch.getTenant().equals(tenant.name())) {
            throw BatchApiException.notFound("batch: " + id);
        }
        return batch;
    }

    private void cancelBatch(Response response, BatchRecord batch)
            throws BatchApiException, IOException {
        ObjectNode json =
                callOnLoop(
                        batches -> {
                            BatchRecord cancelled = batches.cancel(batch.getId());
                            return cancelled == null ? null : toJson(batches, cancelled);
                        });
        if (json == null) {
            throw BatchApiException.conflict(
                    "a batch that is " + stateName(batch.getState()) + " can't be cancelled");
        }
        sendJson(response, json);
    }

    /**
     * Sends a page of files or batches, newest first; the query parameter {@code after} is the id
     * of the last item of the previous page.
     */
    private void list(
            Request request, Response response, Site.Tenant tenant, char kind, int maxItems)
            throws BatchApiException, IOException {
        Fields query = Request.extractQueryParameters(request);
        String limit = query.getValue("limit");
        if (limit != null && !limit.matches("[1-9]\\d{0,4}")) {
            throw BatchApiException.invalid(
                    "limit", "'" + limit + "' is not a number from 1 to " + maxItems);
        }
        if ("asc".equals(query.getValue("order"))) {
            throw BatchApiException.invalid("order", "only desc is served");
        }
        int pageSize =
                Math.min(
                        maxItems,
                        limit == null ? kind == 'f' ? maxItems : 20 : Integer.parseInt(limit));
        String after = query.getValue("after");
        String purpose = query.getValue("purpose");
        long afterNumber =
                after == null
                        ? -1
                        : kind == 'f'
                                ? requireFile(after, tenant).getNumber()
                                : requireBatch(after, tenant).getNumber();
        ArrayNode data = MAPPER.createArrayNode();
        List<String> ids = service.store().listIds(tenant.name(), kind, afterNumber, pageSize + 1);
        for (String id : ids.subList(0, Math.min(pageSize, ids.size()))) {
            FileRecord file = kind == 'f' ? service.store().file(id) : null;
            if (kind == 'b') {
                data.add(batchJson(id, tenant));
            } else if (file != null && (purpose == null || purpose.equals(file.getPurpose()))) {
                data.add(fileJson(file));
            }
        }
        ObjectNode page = MAPPER.createObjectNode().put("object", "list");
        page.set("data", data);
        page.put("first_id", data.isEmpty() ? null : data.get(0).path("id").asText());
        page.put("last_id", data.isEmpty() ? null : data.get(data.size() - 1).path("id").asText());
        sendJson(response, page.put("has_more", ids.size() > pageSize));
    }

    // ------------------------------------------------------------------ JSON

    private static ObjectNode fileJson(FileRecord file) {
        return MAPPER.createObjectNode()
                .put("id", file.getId())
                .put("object", "file")
                .put("bytes", file.getBytes())
                .put("created_at", file.getCreatedMs() / 1000)
                .put("filename", file.getName())
                .put("purpose", file.getPurpose())
                .put("status", "processed");
    }

    /** The current state of a batch of this tenant, read in one call on the event loop. */
    private ObjectNode batchJson(String id, Site.Tenant tenant)
            throws BatchApiException, IOException {
        return callOnLoop(batches -> toJson(batches, requireBatchOnLoop(batches, id, tenant)));
    }

    private static ObjectNode toJson(Batches batches, BatchRecord batch) {
        ObjectNode json =
                MAPPER.createObjectNode()
                        .put("id", batch.getId())
                        .put("object", "batch")
                        .put("endpoint", batch.getEndpoint())
                        .put("input_file_id", batch.getInput())
                        .put("completion_window", batch.getWindow())
                        .put("status", stateName(batch.getState()))
                        .put(
                                "output_file_id",
                                batch.getOutput().isEmpty() ? null : batch.getOutput())
                        .put(
                                "error_file_id",
                                batch.getErrors().isEmpty() ? null : batch.getErrors())
                        .put("created_at", batch.getCreatedMs() / 1000);
        putSeconds(json, "in_progress_at", batch.getInProgressMs());
        putSeconds(json, "expires_at", batch.getExpiresMs());
        putSeconds(json, "finalizing_at", batch.getFinalizingMs());
        putSeconds(json, "cancelling_at", batch.getCancellingMs());
        BatchState state = batch.getState();
        putSeconds(json, "completed_at", state == BatchState.COMPLETED ? batch.getEndedMs() : 0);
        putSeconds(json, "failed_at", state == BatchState.FAILED ? batch.getEndedMs() : 0);
        putSeconds(json, "expired_at", state == BatchState.EXPIRED ? batch.getEndedMs() : 0);
        putSeconds(json, "cancelled_at", state == BatchState.CANCELLED ? batch.getEndedMs() : 0);
        json.putObject("request_counts")
                .put("total", batch.getTotal())
                .put("completed", batch.getDone())
                .put("failed", batch.getFailed());
        if (batch.getFaultCount() == 0) {
            json.putNull("errors");
        } else {
            ArrayNode data = json.putObject("errors").put("object", "list").putArray("data");
            for (InputError fault : batch.getFaultList()) {
                ObjectNode faultJson =
                        data.addObject()
                                .put("code", fault.getCode())
                                .put("message", fault.getMessage())
                                .put("param", fault.getField().isEmpty() ? null : fault.getField());
                if (fault.getLine() > 0) {
                    faultJson.put("line", fault.getLine());
                } else {
                    faultJson.putNull("line");
                }
            }
        }
        ObjectNode metadata = json.putObject("metadata");
        new TreeMap<>(batch.getMetadataMap()).forEach(metadata::put);
        // An addition to OpenAI's API: reports a miss of the completion window as soon as it is
        // predicted, not only when the window ends.
        return json.put("window_at_risk", batches.isAtRisk(batch.getId()));
    }

    private static void putSeconds(ObjectNode json, String field, long ms) {
        if (ms == 0) {
            json.putNull(field);
        } else {
            json.put(field, ms / 1000);
        }
    }

    private static String stateName(BatchState state) {
        return state.name().toLowerCase(java.util.Locale.ROOT);
    }

    private static JsonNode readBody(Request request) throws BatchApiException, IOException {
        try (InputStream in = Content.Source.asInputStream(request)) {
            byte[] bytes = in.readNBytes(MAX_JSON_BODY_BYTES + 1);
            if (bytes.length > MAX_JSON_BODY_BYTES) {
                throw BatchApiException.invalid(
                        null, "the body is over " + MAX_JSON_BODY_BYTES + " bytes");
            }
            JsonNode body = MAPPER.readTree(bytes);
            if (body == null || !body.isObject()) {
                throw BatchApiException.invalid(null, "expected a JSON object");
            }
            return body;
        } catch (JsonProcessingException e) {
            throw BatchApiException.invalid(
                    null, "not valid JSON: " + e.getOriginalMessage().split("\n")[0]);
        }
    }

    private static String requiredText(JsonNode body, String field) throws BatchApiException {
        if (!body.path(field).isTextual() || body.path(field).asText().isEmpty()) {
            throw BatchApiException.invalid(
                    field, body.path(field).isMissingNode() ? "is missing" : "expected a text");
        }
        return body.path(field).asText();
    }

    private static void sendJson(Response response, JsonNode body) throws IOException {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Content.Sink.write(
                response, true, ByteBuffer.wrap(body.toString().getBytes(StandardCharsets.UTF_8)));
    }

    // ------------------------------------------------------------------ event loop

    private interface LoopCall<T> {
        T run(Batches batches) throws IOException, BatchApiException;
    }

    private <T> T callOnLoop(LoopCall<T> call) throws BatchApiException, IOException {
        Batches batches = service.batches();
        java.util.concurrent.Callable<T> task = () -> call.run(batches);
        try {
            return service.loop().call(task).get(LOOP_CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof BatchApiException error) {
                throw error;
            }
            throw e.getCause() instanceof IOException ioFailure
                    ? ioFailure
                    : new IOException(e.getCause());
        } catch (TimeoutException e) {
            throw BatchApiException.unavailable("the store does not answer");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw BatchApiException.unavailable("stopping");
        }
    }
}
