package org.fuchsialever.cli.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.fuchsialever.kernel.time.TimeSource;

/**
 * Follows the answer to one call. Times count from the scheduled send time, so that calls that a
 * stalled server keeps from being sent show their delay. Used by one thread at a time.
 */
final class CallRecorder {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int END_LENGTH = 64;
    private static final int REFUSAL_LENGTH = 4_096;

    private final CallKind kind;
    private final long scheduledNanos;
    private final TimeSource time;
    private final LoadResult result;
    private final ByteArrayOutputStream refusal = new ByteArrayOutputStream(0);
    private String end = "";
    private int status;
    private long firstByteNanos = -1;

    CallRecorder(CallKind kind, long scheduledNanos, TimeSource time, LoadResult result) {
        this.kind = kind;
        this.scheduledNanos = scheduledNanos;
        this.time = time;
        this.result = result;
    }

    void onStatus(int code) {
        status = code;
    }

    void onContent(byte[] content) {
        if (firstByteNanos < 0) {
            firstByteNanos = time.nanoTime() - scheduledNanos;
        }
        if (status != OK) {
            int length = Math.min(content.length, REFUSAL_LENGTH - refusal.size());
            refusal.write(content, 0, length);
            return;
        }
        int kept = Math.min(content.length, END_LENGTH);
        String last = new String(content, content.length - kept, kept, StandardCharsets.ISO_8859_1);
        end = kept == END_LENGTH ? last : tail(end + last);
    }

    void onEnd() {
        if (status != OK) {
            result.count((status + " " + refusalCode()).trim());
        } else if (kind.isComplete(end)) {
            result.succeeded(firstByteNanos, time.nanoTime() - scheduledNanos);
        } else {
            result.count("200 incomplete");
        }
    }

    void onFailure(Throwable failure) {
        result.count("failed " + failure.getClass().getSimpleName());
    }

    private static String tail(String text) {
        return text.substring(Math.max(0, text.length() - END_LENGTH));
    }

    private String refusalCode() {
        try {
            return MAPPER.readTree(refusal.toByteArray()).at("/error/code").asText();
        } catch (IOException e) {
            return "no code";
        }
    }
}
