package larchridge.batch;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import larchridge.store.IncomingFile;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MultiPart;
import org.eclipse.jetty.io.Content;

/**
 * A form with a file and its purpose, as it comes: the file goes to the store's folder part by
 * part, never into memory.
 */
final class MultipartUpload extends MultiPart.AbstractPartsListener implements AutoCloseable {
    private static final int MOST_FIELD_BYTES = 1000;
    private static final int MOST_PARTS = 16;

    /** Where the file's bytes go. */
    interface Place {
        IncomingFile receive() throws IOException;
    }

    private final Place place;
    private final long mostBytes;
    private IncomingFile file;
    private String fileName;
    private final StringBuilder purpose = new StringBuilder();
    private BatchApiException refusal;
    private IOException broken;
    private boolean complete;

    MultipartUpload(Place place, long mostBytes) {
        this.place = place;
        this.mostBytes = mostBytes;
    }

    /** Reads a form to its end; the file is synced when this returns. */
    void read(String contentType, InputStream body) throws IOException, BatchApiException {
        String boundary =
                contentType == null || !contentType.startsWith("multipart/form-data")
                        ? null
                        : MultiPart.extractBoundary(contentType);
        if (boundary == null) {
            throw BatchApiException.invalid("file", "expected multipart/form-data with a boundary");
        }
        MultiPart.Parser parser = new MultiPart.Parser(boundary, this);
        parser.setMaxParts(MOST_PARTS);
        byte[] part = new byte[1 << 16];
        for (int length = body.read(part);
                length >= 0 && refusal == null && broken == null;
                length = body.read(part)) {
            parser.parse(Content.Chunk.from(ByteBuffer.wrap(part, 0, length), false));
        }
        if (refusal == null && broken == null && !complete) {
            parser.parse(Content.Chunk.EOF);
        }
        if (broken != null) {
            throw broken;
        }
        if (refusal != null) {
            throw refusal;
        }
        if (!complete) {
            throw BatchApiException.invalid("file", "the form ends before its last boundary");
        }
        if (file == null) {
            throw BatchApiException.invalid("file", "is missing");
        }
        file.sync();
    }

    @Override
    public void onPartContent(Content.Chunk chunk) {
        if (refusal != null || broken != null) {
            return;
        }
        ByteBuffer bytes = chunk.getByteBuffer();
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        try {
            if ("purpose".equals(getName())) {
                purpose.append(new String(part, StandardCharsets.UTF_8));
                if (purpose.length() > MOST_FIELD_BYTES) {
                    refusal = BatchApiException.invalid("purpose", "is too long");
                }
            } else if ("file".equals(getName())) {
                if (file == null) {
                    file = place.receive();
                }
                if (file.bytes() + part.length > mostBytes) {
                    refusal =
                            BatchApiException.tooLarge("the file is over " + mostBytes + " bytes");
                    return;
                }
                file.write(part, 0, part.length);
            }
        } catch (IOException e) {
            broken = e;
        }
    }

    @Override
    public void onPart(String name, String name2, HttpFields headers) {
        if ("file".equals(name)) {
            fileName = name2;
            if (file == null && broken == null) {
                try {
                    file = place.receive();
                } catch (IOException e) {
                    broken = e;
                }
            }
        }
    }

    @Override
    public void onComplete() {
        complete = true;
    }

    @Override
    public void onFailure(Throwable failure) {
        refusal =
                refusal == null
                        ? BatchApiException.invalid("file", "not a form: " + failure.getMessage())
                        : refusal;
    }

    IncomingFile file() {
        return file;
    }

    String fileName() {
        return fileName == null || fileName.isBlank() ? "unnamed" : fileName;
    }

    String purpose() {
        return purpose.toString();
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }
}
