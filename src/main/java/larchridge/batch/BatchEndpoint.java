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
import larchridge.store.form.BatchForm;
import larchridge.store.form.FaultForm;
import larchridge.store.form.FileForm;
import larchridge.store.form.StateForm;
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
 * The Files and Batches API, by the public specification. One thread a call; what it asks of the
 * store runs on its loop.
 */
final class BatchEndpoint extends Handler.Abstract {
    private static final Logger LOG = LoggerFactory.getLogger(BatchEndpoint.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MOST_BODY = 64 << 10;
    private static final int MOST_METADATA = 16;
    private static final long ANSWER_MS = 30_000;
    private static final long LONGEST_WINDOW_MS = 30L * 24 * 3600 * 1000;
    private static final Pattern WINDOW = Pattern.compile("([1-9]\\d{0,5})([smhd])");
    private static final Map<String, Long> UNITS =
            Map.of("s", 1000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);

    private final Site site;
    private final BatchSettings terms;
    private final BatchService service;

    BatchEndpoint(Site site, BatchService service) {
        this.site = site;
        this.service = service;
        terms = site.batchSettings;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        try {
            route(request, response);
            callback.succeeded();
        } catch (BatchApiException refusal) {
            refuse(response, callback, refusal);
        } catch (IOException e) {
            LOG.warn("a call to the batch API failed", e);
            if (response.isCommitted()) {
                callback.failed(e);
            } else {
                refuse(
                        response,
                        callback,
                        BatchApiException.broken(
                                "the call could not be carried out; nothing of it was kept"));
            }
        }
        return true;
    }

    private static void refuse(Response response, Callback callback, BatchApiException refusal) {
        ObjectNode body = MAPPER.createObjectNode();
        body.putObject("error")
                .put("message", refusal.getMessage())
                .put("type", refusal.type)
                .put("param", refusal.field)
                .putNull("code");
        response.setStatus(refusal.status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        // What is left of the body is not read.
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        if (refusal.status == 503) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, "1");
        }
        response.write(
                true, ByteBuffer.wrap(body.toString().getBytes(StandardCharsets.UTF_8)), callback);
    }

    private void route(Request request, Response response) throws BatchApiException, IOException {
        String[] path = Request.getPathInContext(request).split("/");
        Site.Tenant tenant = caller(request);
        String what = path.length > 2 && path[1].equals("v1") ? path[2] : "";
        String id = path.length > 3 ? path[3] : null;
        String part = path.length > 4 ? path[4] : null;
        boolean post = request.getMethod().equals("POST");
        boolean get = request.getMethod().equals("GET");
        if (what.equals("files") && id == null && post) {
            upload(request, response, tenant);
        } else if (what.equals("files") && id == null && get) {
            list(request, response, tenant, 'f', 10_000);
        } else if (what.equals("files") && part == null && get) {
            answer(response, fileJson(file(id, tenant)));
        } else if (what.equals("files") && "content".equals(part) && get) {
            content(response, file(id, tenant));
        } else if (what.equals("files") && part == null && request.getMethod().equals("DELETE")) {
            delete(response, file(id, tenant));
        } else if (what.equals("batches") && id == null && post) {
            make(request, response, tenant);
        } else if (what.equals("batches") && id == null && get) {
            list(request, response, tenant, 'b', 100);
        } else if (what.equals("batches") && part == null && get) {
            answer(response, batchJson(id, tenant));
        } else if (what.equals("batches") && "cancel".equals(part) && post) {
            cancel(response, batch(id, tenant));
        } else if (what.equals("files") || what.equals("batches")) {
            throw BatchApiException.wrongMethod();
        } else {
            throw BatchApiException.notFound("path");
        }
    }

    private Site.Tenant caller(Request request) throws BatchApiException {
        String key = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        key =
                key != null && key.regionMatches(true, 0, "Bearer ", 0, 7)
                        ? key.substring(7).strip()
                        : request.getHeaders().get("x-api-key");
        Site.Tenant tenant = key == null && site.guest == null ? null : site.tenantByKey(key);
        if (tenant == null) {
            throw BatchApiException.unknownKey();
        }
        return tenant;
    }

    // ------------------------------------------------------------------ files

    private void upload(Request request, Response response, Site.Tenant tenant)
            throws BatchApiException, IOException {
        if (request.getLength() > terms.maxFileBytes + MOST_BODY) {
            throw BatchApiException.tooLarge("the file is over " + terms.maxFileBytes + " bytes");
        }
        Store store = service.store();
        onLoop(
                batches -> {
                    room(store, tenant, Math.max(0, request.getLength() - MOST_BODY));
                    return null;
                });
        try (MultipartUpload upload = new MultipartUpload(store::receive, terms.maxFileBytes);
                InputStream body = Content.Source.asInputStream(request)) {
            upload.read(request.getHeaders().get(HttpHeader.CONTENT_TYPE), body);
            if (!upload.purpose().equals("batch")) {
                throw BatchApiException.invalid(
                        "purpose",
                        "'" + upload.purpose() + "' is not batch, the only purpose served");
            }
            answer(
                    response,
                    fileJson(
                            onLoop(
                                    batches -> {
                                        room(store, tenant, upload.file().bytes());
                                        return store.keep(
                                                upload.file(),
                                                tenant.name(),
                                                upload.fileName(),
                                                upload.purpose(),
                                                (long) service.nowMs());
                                    })));
        }
    }

    private void room(Store store, Site.Tenant tenant, long bytes) throws BatchApiException {
        if (store.bytesOf(tenant.name()) + bytes > terms.maxTenantBytes
                || store.filesOf(tenant.name()) >= terms.maxTenantFiles) {
            throw BatchApiException.overQuota(
                    "kept are "
                            + store.bytesOf(tenant.name())
                            + " bytes in "
                            + store.filesOf(tenant.name())
                            + " files; allowed are "
                            + terms.maxTenantBytes
                            + " in "
                            + terms.maxTenantFiles
                            + "; delete some");
        }
    }

    private FileForm file(String id, Site.Tenant tenant) throws BatchApiException, IOException {
        // Records of files are read here: only what changes them, and batches that are under way,
        // belong to the loop.
        FileForm file = service.store().file(id);
        if (file == null || !file.getTenant().equals(tenant.name())) {
            throw BatchApiException.notFound("file: " + id);
        }
        return file;
    }

    private void content(Response response, FileForm file) throws IOException, BatchApiException {
        try (FileChannel from = service.store().content(file)) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/octet-stream");
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, file.getBytes());
            try (OutputStream to = Content.Sink.asOutputStream(response)) {
                ByteBuffer part = ByteBuffer.allocate(1 << 16);
                // Guards against: a slow reader holds its thread; its connection is cut when it
                // takes
                // nothing for idle_connection_ms.
                for (int got = from.read(part); got >= 0; got = from.read(part.clear())) {
                    to.write(part.array(), 0, got);
                }
            }
        }
    }

    private void delete(Response response, FileForm file) throws BatchApiException, IOException {
        boolean gone = onLoop(batches -> service.store().delete(file));
        if (!gone) {
            throw BatchApiException.conflict("a batch that is not over reads this file");
        }
        answer(
                response,
                MAPPER.createObjectNode()
                        .put("id", file.getId())
                        .put("object", "file")
                        .put("deleted", true));
    }

    // ------------------------------------------------------------------ batches

    private void make(Request request, Response response, Site.Tenant tenant)
            throws BatchApiException, IOException {
        JsonNode body = body(request);
        FileForm input = file(text(body, "input_file_id"), tenant);
        if (!input.getPurpose().equals("batch")) {
            throw BatchApiException.invalid(
                    "input_file_id", "the file's purpose is " + input.getPurpose() + ", not batch");
        }
        String endpoint = text(body, "endpoint");
        if (!endpoint.equals(BatchLineCodec.CHAT) && !endpoint.equals(BatchLineCodec.MESSAGES)) {
            throw BatchApiException.invalid(
                    "endpoint",
                    "'"
                            + endpoint
                            + "' is not "
                            + BatchLineCodec.CHAT
                            + " or "
                            + BatchLineCodec.MESSAGES);
        }
        String window = text(body, "completion_window");
        Matcher spans = WINDOW.matcher(window);
        long windowMs =
                spans.matches() ? Long.parseLong(spans.group(1)) * UNITS.get(spans.group(2)) : 0;
        if (windowMs <= 0 || windowMs > LONGEST_WINDOW_MS) {
            throw BatchApiException.invalid(
                    "completion_window", "'" + window + "' is not a time like 24h, 30d at most");
        }
        Map<String, String> metadata = metadata(body.path("metadata"));
        answer(
                response,
                onLoop(
                        batches -> {
                            // Guards against: between the look and this the file could have been
                            // deleted.
                            if (service.store().file(input.getId()) == null) {
                                throw BatchApiException.notFound("file: " + input.getId());
                            }
                            long now = (long) service.nowMs();
                            return json(
                                    batches,
                                    batches.make(
                                            BatchForm.newBuilder()
                                                    .setTenant(tenant.name())
                                                    .setInput(input.getId())
                                                    .setEndpoint(endpoint)
                                                    .setWindow(window)
                                                    .setCreatedMs(now)
                                                    .setExpiresMs(now + windowMs)
                                                    .putAllMetadata(metadata)));
                        }));
    }

    private static Map<String, String> metadata(JsonNode node) throws BatchApiException {
        Map<String, String> metadata = new TreeMap<>();
        if (node.isMissingNode() || node.isNull()) {
            return metadata;
        }
        if (!node.isObject() || node.size() > MOST_METADATA) {
            throw BatchApiException.invalid(
                    "metadata", "expected an object of at most " + MOST_METADATA + " texts");
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

    private BatchForm batch(String id, Site.Tenant tenant) throws BatchApiException, IOException {
        return onLoop(batches -> own(batches, id, tenant));
    }

    private static BatchForm own(Batches batches, String id, Site.Tenant tenant)
            throws BatchApiException, IOException {
        BatchForm batch = batches.batch(id);
        if (batch == null || !batch.getTenant().equals(tenant.name())) {
            throw BatchApiException.notFound("batch: " + id);
        }
        return batch;
    }

    private void cancel(Response response, BatchForm batch) throws BatchApiException, IOException {
        ObjectNode now =
                onLoop(
                        batches -> {
                            BatchForm cancelled = batches.cancel(batch.getId());
                            return cancelled == null ? null : json(batches, cancelled);
                        });
        if (now == null) {
            throw BatchApiException.conflict(
                    "a batch that is " + word(batch.getState()) + " can't be cancelled");
        }
        answer(response, now);
    }

    /** A page of files or batches, newest first; after names the last one of the page before. */
    private void list(
            Request request, Response response, Site.Tenant tenant, char kind, int mostItems)
            throws BatchApiException, IOException {
        Fields query = Request.extractQueryParameters(request);
        String limit = query.getValue("limit");
        if (limit != null && !limit.matches("[1-9]\\d{0,4}")) {
            throw BatchApiException.invalid(
                    "limit", "'" + limit + "' is not a number from 1 to " + mostItems);
        }
        if ("asc".equals(query.getValue("order"))) {
            throw BatchApiException.invalid("order", "only desc is served");
        }
        int items =
                Math.min(
                        mostItems,
                        limit == null ? kind == 'f' ? mostItems : 20 : Integer.parseInt(limit));
        String after = query.getValue("after");
        String purpose = query.getValue("purpose");
        long from =
                after == null
                        ? -1
                        : kind == 'f'
                                ? file(after, tenant).getNumber()
                                : batch(after, tenant).getNumber();
        ArrayNode data = MAPPER.createArrayNode();
        List<String> ids = service.store().page(tenant.name(), kind, from, items + 1);
        for (String id : ids.subList(0, Math.min(items, ids.size()))) {
            FileForm file = kind == 'f' ? service.store().file(id) : null;
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
        answer(response, page.put("has_more", ids.size() > items));
    }

    // ------------------------------------------------------------------ in the API's words

    private static ObjectNode fileJson(FileForm file) {
        return MAPPER.createObjectNode()
                .put("id", file.getId())
                .put("object", "file")
                .put("bytes", file.getBytes())
                .put("created_at", file.getCreatedMs() / 1000)
                .put("filename", file.getName())
                .put("purpose", file.getPurpose())
                .put("status", "processed");
    }

    /** A batch of this tenant as it is now, in one question to the loop. */
    private ObjectNode batchJson(String id, Site.Tenant tenant)
            throws BatchApiException, IOException {
        return onLoop(batches -> json(batches, own(batches, id, tenant)));
    }

    private static ObjectNode json(Batches batches, BatchForm batch) {
        ObjectNode json =
                MAPPER.createObjectNode()
                        .put("id", batch.getId())
                        .put("object", "batch")
                        .put("endpoint", batch.getEndpoint())
                        .put("input_file_id", batch.getInput())
                        .put("completion_window", batch.getWindow())
                        .put("status", word(batch.getState()))
                        .put(
                                "output_file_id",
                                batch.getOutput().isEmpty() ? null : batch.getOutput())
                        .put(
                                "error_file_id",
                                batch.getErrors().isEmpty() ? null : batch.getErrors())
                        .put("created_at", batch.getCreatedMs() / 1000);
        time(json, "in_progress_at", batch.getInProgressMs());
        time(json, "expires_at", batch.getExpiresMs());
        time(json, "finalizing_at", batch.getFinalizingMs());
        time(json, "cancelling_at", batch.getCancellingMs());
        StateForm state = batch.getState();
        time(json, "completed_at", state == StateForm.COMPLETED ? batch.getEndedMs() : 0);
        time(json, "failed_at", state == StateForm.FAILED ? batch.getEndedMs() : 0);
        time(json, "expired_at", state == StateForm.EXPIRED ? batch.getEndedMs() : 0);
        time(json, "cancelled_at", state == StateForm.CANCELLED ? batch.getEndedMs() : 0);
        json.putObject("request_counts")
                .put("total", batch.getTotal())
                .put("completed", batch.getDone())
                .put("failed", batch.getFailed());
        if (batch.getFaultCount() == 0) {
            json.putNull("errors");
        } else {
            ArrayNode data = json.putObject("errors").put("object", "list").putArray("data");
            for (FaultForm fault : batch.getFaultList()) {
                ObjectNode one =
                        data.addObject()
                                .put("code", fault.getCode())
                                .put("message", fault.getMessage())
                                .put("param", fault.getField().isEmpty() ? null : fault.getField());
                if (fault.getLine() > 0) {
                    one.put("line", fault.getLine());
                } else {
                    one.putNull("line");
                }
            }
        }
        ObjectNode metadata = json.putObject("metadata");
        new TreeMap<>(batch.getMetadataMap()).forEach(metadata::put);
        // Beside the specification: told as soon as it is foreseen, not at the window's end.
        return json.put("window_at_risk", batches.isAtRisk(batch.getId()));
    }

    private static void time(ObjectNode json, String field, long ms) {
        if (ms == 0) {
            json.putNull(field);
        } else {
            json.put(field, ms / 1000);
        }
    }

    private static String word(StateForm state) {
        return state.name().toLowerCase(java.util.Locale.ROOT);
    }

    private static JsonNode body(Request request) throws BatchApiException, IOException {
        try (InputStream in = Content.Source.asInputStream(request)) {
            byte[] bytes = in.readNBytes(MOST_BODY + 1);
            if (bytes.length > MOST_BODY) {
                throw BatchApiException.invalid(null, "the body is over " + MOST_BODY + " bytes");
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

    private static String text(JsonNode body, String field) throws BatchApiException {
        if (!body.path(field).isTextual() || body.path(field).asText().isEmpty()) {
            throw BatchApiException.invalid(
                    field, body.path(field).isMissingNode() ? "is missing" : "expected a text");
        }
        return body.path(field).asText();
    }

    private static void answer(Response response, JsonNode body) throws IOException {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Content.Sink.write(
                response, true, ByteBuffer.wrap(body.toString().getBytes(StandardCharsets.UTF_8)));
    }

    // ------------------------------------------------------------------ the loop

    private interface Question<T> {
        T of(Batches batches) throws IOException, BatchApiException;
    }

    private <T> T onLoop(Question<T> question) throws BatchApiException, IOException {
        Batches batches = service.batches();
        java.util.concurrent.Callable<T> asked = () -> question.of(batches);
        try {
            return service.loop().ask(asked).get(ANSWER_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof BatchApiException refusal) {
                throw refusal;
            }
            throw e.getCause() instanceof IOException disk ? disk : new IOException(e.getCause());
        } catch (TimeoutException e) {
            throw BatchApiException.away("the store does not answer");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw BatchApiException.away("stopping");
        }
    }
}
