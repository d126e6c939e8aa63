package org.fuchsialever.node.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Parses a stream of server-sent events; an incomplete event stays buffered. */
public final class ServerSentEventParser {
    /** Maximum size of an event in bytes, far above the tokens of one step of an engine. */
    public static final int MAX_EVENT_BYTES = 256 * 1_024;

    private final String mVersionField;
    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private int mLineLength;

    /** Creates a parser; the argument names the event field with the weight version. */
    public ServerSentEventParser(String versionField) {
        mVersionField = versionField;
    }

    /** Adds bytes and returns the events that they complete. */
    public List<ServerSentEvent> feed(byte[] bytes) {
        List<ServerSentEvent> events = new ArrayList<>();
        for (byte next : bytes) {
            if (isOverlong()) {
                return events;
            }
            mPending.write(next);
            if (next == '\r') {
                continue;
            }
            if (next != '\n') {
                mLineLength++;
                continue;
            }
            if (mLineLength == 0) {
                complete(events);
            }
            mLineLength = 0;
        }
        return events;
    }

    /** Returns whether the current event exceeds the maximum size; no bytes are read after it. */
    public boolean isOverlong() {
        return mPending.size() >= MAX_EVENT_BYTES;
    }

    /** Returns the number of bytes that are buffered. */
    public int bufferedBytes() {
        return mPending.size();
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    public boolean hasIncompleteEvent() {
        return mPending.size() > 0;
    }

    private void complete(List<ServerSentEvent> events) {
        byte[] raw = mPending.toByteArray();
        mPending.reset();
        String id = "";
        long version = 0;
        StringBuilder data = new StringBuilder();
        boolean hasData = false;
        for (String line : new String(raw, StandardCharsets.UTF_8).split("\r?\n")) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                continue;
            }
            String name = line.substring(0, colon);
            String value = line.substring(colon + 1);
            value = value.startsWith(" ") ? value.substring(1) : value;
            if (name.equals("data")) {
                data.append(hasData ? "\n" : "").append(value);
                hasData = true;
            } else if (name.equals("id")) {
                id = value;
            } else if (name.equals(mVersionField) && value.strip().matches("[0-9]{1,18}")) {
                version = Long.parseLong(value.strip());
            }
        }
        if (hasData || !id.isEmpty()) {
            events.add(new ServerSentEvent(id, data.toString(), version, raw));
        }
    }
}
