package org.fuchsialever.node.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits the bytes of a stream into whole events; an incomplete last event is not returned. */
public final class ServerSentEventParser {
    private final String versionLine;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int lineLength;

    /** Creates an assembler; the name is that of the line with the weight version. */
    public ServerSentEventParser(String versionLine) {
        this.versionLine = versionLine;
    }

    /** Returns the events that the bytes complete. */
    public List<ServerSentEvent> feed(byte[] bytes) {
        List<ServerSentEvent> events = new ArrayList<>();
        for (byte next : bytes) {
            pending.write(next);
            if (next == '\r') {
                continue;
            }
            if (next != '\n') {
                lineLength++;
                continue;
            }
            if (lineLength == 0) {
                complete(events);
            }
            lineLength = 0;
        }
        return events;
    }

    /** Returns whether bytes of an incomplete event are left. */
    public boolean hasIncompleteEvent() {
        return pending.size() > 0;
    }

    private void complete(List<ServerSentEvent> events) {
        byte[] raw = pending.toByteArray();
        pending.reset();
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
            } else if (name.equals(versionLine) && value.strip().matches("[0-9]{1,18}")) {
                version = Long.parseLong(value.strip());
            }
        }
        if (hasData || !id.isEmpty()) {
            events.add(new ServerSentEvent(id, data.toString(), version, raw));
        }
    }
}
