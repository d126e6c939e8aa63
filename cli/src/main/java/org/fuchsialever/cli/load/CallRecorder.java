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

    private final CallKind mKind;
    private final long mScheduledNanos;
    private final TimeSource mTime;
    private final LoadResult mResult;
    private final ByteArrayOutputStream mRefusal = new ByteArrayOutputStream(0);
    private String mEnd = "";
    private int mStatus;
    private long mFirstByteNanos = -1;

    CallRecorder(CallKind kind, long scheduledNanos, TimeSource time, LoadResult result) {
        mKind = kind;
        mScheduledNanos = scheduledNanos;
        mTime = time;
        mResult = result;
    }

    void onStatus(int code) {
        mStatus = code;
    }

    void onContent(byte[] content) {
        if (mFirstByteNanos < 0) {
            mFirstByteNanos = mTime.nanoTime() - mScheduledNanos;
        }
        if (mStatus != OK) {
            int length = Math.min(content.length, REFUSAL_LENGTH - mRefusal.size());
            mRefusal.write(content, 0, length);
            return;
        }
        int kept = Math.min(content.length, END_LENGTH);
        String last = new String(content, content.length - kept, kept, StandardCharsets.ISO_8859_1);
        mEnd = kept == END_LENGTH ? last : tail(mEnd + last);
    }

    void onEnd() {
        if (mStatus != OK) {
            mResult.count((mStatus + " " + refusalCode()).trim());
        } else if (mKind.isComplete(mEnd)) {
            mResult.succeeded(mFirstByteNanos, mTime.nanoTime() - mScheduledNanos);
        } else {
            mResult.count("200 incomplete");
        }
    }

    void onFailure(Throwable failure) {
        mResult.count("failed " + failure.getClass().getSimpleName());
    }

    private static String tail(String text) {
        return text.substring(Math.max(0, text.length() - END_LENGTH));
    }

    private String refusalCode() {
        try {
            return MAPPER.readTree(mRefusal.toByteArray()).at("/error/code").asText();
        } catch (IOException e) {
            return "no code";
        }
    }
}
