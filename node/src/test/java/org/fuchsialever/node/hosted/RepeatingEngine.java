package org.fuchsialever.node.hosted;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import org.fuchsialever.platform.StoreStandIn;

/**
 * An engine that sends each response a second time where the response to the next request on the
 * connection is expected. Its texts name the run, so that a copy can be told from the response.
 */
final class RepeatingEngine implements AutoCloseable {
    private static final int EVENT_COUNT = 3;
    private static final String CONTENT_LENGTH = "content-length:";
    private static final String REQUEST_ID = "request-id:";

    private final ServerSocket mSocket;
    private final Map<String, Integer> mRuns = new HashMap<>();

    RepeatingEngine() {
        try {
            mSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start("repeating-engine", this::accept);
    }

    /** Writes the directory row of this engine. */
    void register(StoreStandIn store, String id) {
        store.write(
                "servers",
                id,
                "{\"service\":\"engines\",\"address\":\"127.0.0.1:"
                        + mSocket.getLocalPort()
                        + "\",\"zone\":\"z\",\"slots\":8,\"state\":\"ready\",\"seq\":1,"
                        + "\"born\":1,\"models\":[{\"name\":\"m\",\"version\":1}]}");
    }

    /** Returns the text of a run of an item, counted from 1. */
    static String text(String item, int run) {
        StringJoiner text = new StringJoiner("\n");
        for (int event = 1; event <= EVENT_COUNT; event++) {
            text.add(data(item, run, event));
        }
        return text.toString();
    }

    private static String data(String item, int run, int event) {
        return item + " run " + run + " event " + event;
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket connection = mSocket.accept();
                start("repeating-engine-connection", () -> serve(connection));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.US_ASCII));
            String previous = "";
            String id = readRequest(reader);
            while (id != null) {
                String response = response(id);
                OutputStream output = connection.getOutputStream();
                output.write((previous + response).getBytes(StandardCharsets.US_ASCII));
                output.flush();
                previous = response;
                id = readRequest(reader);
            }
        } catch (IOException e) {
            // The instance has closed the connection.
            return;
        }
    }

    /** Reads a request and returns its ID, or null at the end of the connection. */
    private static @org.jspecify.annotations.Nullable String readRequest(BufferedReader reader)
            throws IOException {
        String id = "";
        int length = 0;
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            String field = line.toLowerCase(Locale.ROOT);
            if (field.startsWith(CONTENT_LENGTH)) {
                length = Integer.parseInt(line.substring(CONTENT_LENGTH.length()).strip());
            } else if (field.startsWith(REQUEST_ID)) {
                id = line.substring(REQUEST_ID.length()).strip();
            }
            line = reader.readLine();
        }
        for (int read = 0; line != null && read < length; read++) {
            if (reader.read() < 0) {
                return null;
            }
        }
        return line == null ? null : id;
    }

    private synchronized String response(String id) {
        int run = mRuns.merge(id, 1, Integer::sum);
        StringBuilder body = new StringBuilder();
        for (int event = 1; event <= EVENT_COUNT; event++) {
            body.append("id: ").append(event).append("\ndata: ");
            body.append(data(id, run, event)).append("\n\n");
        }
        return "HTTP/1.1 200 OK\r\nRequest-Id: "
                + id
                + "\r\nResponse-Stamp: stamp-"
                + id
                + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}
