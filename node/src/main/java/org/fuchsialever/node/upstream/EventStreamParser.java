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

    private final int maxEventBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private boolean hasData;
    private boolean afterCarriageReturn;

    /**
     * Creates a parser.
     *
     * @param maxEventBytes maximum size of an event in bytes
     */
    EventStreamParser(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
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
            boolean lineFeedOfPair = next == '\n' && afterCarriageReturn;
            afterCarriageReturn = next == '\r';
            if (lineFeedOfPair) {
                continue;
            }
            if (next == '\n' || next == '\r') {
                endLine(events);
            } else {
                line.write(next);
                if (line.size() + data.length() > maxEventBytes) {
                    throw new UpstreamException(
                            AttemptResult.MALFORMED_ANSWER,
                            "an event is larger than " + maxEventBytes + " bytes");
                }
            }
        }
        return events;
    }

    private void endLine(List<String> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.isEmpty()) {
            if (hasData) {
                events.add(data.toString());
            }
            data.setLength(0);
            hasData = false;
        } else if (text.startsWith(DATA)) {
            if (hasData) {
                data.append('\n');
            }
            hasData = true;
            String value = text.substring(DATA.length());
            data.append(value.startsWith(" ") ? value.substring(1) : value);
        }
    }
}
