package org.fuchsialever.node.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.dispatch.AttemptResult;

/**
 * Incremental parser of server-sent events that returns the data of each event. Buffers at most one
 * incomplete event.
 */
final class EventStreamParser {
    private static final String DATA = "data:";

    private final int mMaxEventBytes;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final StringBuilder mData = new StringBuilder();
    private boolean mHasData;
    private boolean mAfterCarriageReturn;

    /**
     * Creates a parser.
     *
     * @param maxEventBytes maximum size of an event in bytes
     */
    EventStreamParser(int maxEventBytes) {
        mMaxEventBytes = maxEventBytes;
    }

    /**
     * Parses the next bytes of the stream.
     *
     * @return the data of the events that these bytes complete
     * @throws UpstreamException if an event is larger than the limit
     */
    List<String> feed(byte[] bytes) {
        List<String> events = new ArrayList<>();
        for (byte next : bytes) {
            boolean lineFeedOfPair = next == '\n' && mAfterCarriageReturn;
            mAfterCarriageReturn = next == '\r';
            if (lineFeedOfPair) {
                continue;
            }
            if (next == '\n' || next == '\r') {
                endLine(events);
            } else {
                mLine.write(next);
                if (mLine.size() + mData.length() > mMaxEventBytes) {
                    throw new UpstreamException(
                            AttemptResult.MALFORMED_ANSWER,
                            "an event is larger than " + mMaxEventBytes + " bytes");
                }
            }
        }
        return events;
    }

    private void endLine(List<String> events) {
        String text = mLine.toString(StandardCharsets.UTF_8);
        mLine.reset();
        if (text.isEmpty()) {
            if (mHasData) {
                events.add(mData.toString());
            }
            mData.setLength(0);
            mHasData = false;
        } else if (text.startsWith(DATA)) {
            if (mHasData) {
                mData.append('\n');
            }
            mHasData = true;
            String value = text.substring(DATA.length());
            mData.append(value.startsWith(" ") ? value.substring(1) : value);
        }
    }
}
