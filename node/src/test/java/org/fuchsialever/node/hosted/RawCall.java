package org.fuchsialever.node.hosted;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.fuchsialever.platform.ManifestText;

/**
 * A call on a connection of its own, whose response is read byte by byte, so that its framing can
 * be checked.
 *
 * @param text all bytes that were received
 * @param closed whether the instance closed the connection
 */
record RawCall(String text, boolean closed) {
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    /** Sends a call for a stream and reads until its end, or until the connection ends. */
    static RawCall stream(int port, String path, String requestId, String key) {
        String head =
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + ManifestText.HOST
                        + "\r\nRequest-Id: "
                        + requestId
                        + "\r\nAuthorization: Bearer "
                        + key
                        + "\r\n"
                        + "Deadline-Ms: 3000\r\n"
                        + "Model: m\r\n"
                        + "Connection: close\r\n"
                        + "Content-Length: 0\r\n\r\n";
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout((int) HostedFixture.TIMEOUT.toMillis());
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return read(socket.getInputStream());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static RawCall read(InputStream input) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        int next = input.read();
        while (next >= 0) {
            received.write(next);
            String text = received.toString(StandardCharsets.US_ASCII);
            if (next == '\n' && text.endsWith(LAST_CHUNK)) {
                return new RawCall(text, false);
            }
            next = input.read();
        }
        return new RawCall(received.toString(StandardCharsets.US_ASCII), true);
    }

    int status() {
        return Integer.parseInt(text.split(" ", 3)[1]);
    }

    /** Returns whether the response is chunked and its last chunk was received. */
    boolean isWhole() {
        return isChunked() && text.endsWith(LAST_CHUNK);
    }

    /** Returns whether chunks frame the body, so that an early end of it can be told. */
    boolean isChunked() {
        return text.substring(0, text.indexOf(END_OF_HEAD))
                .toLowerCase(Locale.ROOT)
                .contains("transfer-encoding: chunked");
    }

    /** Returns the number of events in the body. */
    int eventCount() {
        return text.split("data: ", -1).length - 1;
    }
}
