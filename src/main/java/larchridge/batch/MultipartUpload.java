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
 * Parses a multipart form with a file and its purpose as it arrives. The file's content is written
 * to the store's folder chunk by chunk and never held in memory as a whole.
 */
final class MultipartUpload extends MultiPart.AbstractPartsListener implements AutoCloseable {
    private static final int MAX_PURPOSE_CHARS = 1000;
    private static final int MAX_PARTS = 16;

    /** Creates the file to which the uploaded content is written. */
    interface IncomingFileFactory {
        IncomingFile create() throws IOException;
    }

    private final IncomingFileFactory fileFactory;
    private final long maxFileBytes;
    private IncomingFile file;
    private String fileName;
    private final StringBuilder purpose = new StringBuilder();
    private BatchApiException rejection;
    private IOException ioFailure;
    private boolean complete;

    MultipartUpload(IncomingFileFactory fileFactory, long maxFileBytes) {
        this.fileFactory = fileFactory;
        this.maxFileBytes = maxFileBytes;
    }

    /**
     * Reads the form up to its end or its first fault; the file is synced when this method returns.
     *
     * @throws BatchApiException if the form is rejected; the rest of it may be unread
     * @throws IOException if the form cannot be read or the file cannot be written
     */
    void read(String contentType, InputStream body) throws IOException, BatchApiException {
        String boundary =
                contentType == null || !contentType.startsWith("multipart/form-data")
                        ? null
                        : MultiPart.extractBoundary(contentType);
        if (boundary == null) {
            throw BatchApiException.invalid("file", "expected multipart/form-data with a boundary");
        }
        MultiPart.Parser parser = new MultiPart.Parser(boundary, this);
        parser.setMaxParts(MAX_PARTS);
        byte[] buffer = new byte[1 << 16];
        for (int length = body.read(buffer);
                length >= 0 && rejection == null && ioFailure == null;
                length = body.read(buffer)) {
            parser.parse(Content.Chunk.from(ByteBuffer.wrap(buffer, 0, length), false));
        }
        if (rejection == null && ioFailure == null && !complete) {
            parser.parse(Content.Chunk.EOF);
        }
        if (ioFailure != null) {
            throw ioFailure;
        }
        if (rejection != null) {
            throw rejection;
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
        if (rejection != null || ioFailure != null) {
            return;
        }
        ByteBuffer bytes = chunk.getByteBuffer();
        byte[] content = new byte[bytes.remaining()];
        bytes.get(content);
        try {
            if ("purpose".equals(getName())) {
                purpose.append(new String(content, StandardCharsets.UTF_8));
                if (purpose.length() > MAX_PURPOSE_CHARS) {
                    rejection = BatchApiException.invalid("purpose", "is too long");
                }
            } else if ("file".equals(getName())) {
                if (file == null) {
                    file = fileFactory.create();
                }
                if (file.bytes() + content.length > maxFileBytes) {
                    rejection =
                            BatchApiException.tooLarge(
                                    "the file is over " + maxFileBytes + " bytes");
                    return;
                }
                file.write(content, 0, content.length);
            }
        } catch (IOException e) {
            ioFailure = e;
        }
    }

    @Override
    public void onPart(String name, String partFileName, HttpFields headers) {
        if ("file".equals(name)) {
            fileName = partFileName;
            if (file == null && ioFailure == null) {
                try {
                    file = fileFactory.create();
                } catch (IOException e) {
                    ioFailure = e;
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
        rejection =
                rejection == null
                        ? BatchApiException.invalid("file", "not a form: " + failure.getMessage())
                        : rejection;
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
