package org.fuchsialever.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.fuchsialever.platform.ManifestText;

/** A connection of a caller who sends its request in parts and reads the response when asked. */
final class RawCaller implements AutoCloseable {
    private static final int MAX_WAIT_MILLIS = 20_000;
    private static final int SMALL_BUFFER_BYTES = 4_096;

    private final Socket mSocket = new Socket();

    RawCaller(DeployedInstance instance) throws IOException {
        this(instance.port());
    }

    RawCaller(int port) throws IOException {
        mSocket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        mSocket.connect(new InetSocketAddress("127.0.0.1", port));
        mSocket.setSoTimeout(MAX_WAIT_MILLIS);
    }

    RawCaller head(String method, String path, String id, long bodyBytes) throws IOException {
        return head(method, path, id, "Content-Length: " + bodyBytes);
    }

    RawCaller head(String method, String path, String id, String framing) throws IOException {
        String head =
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + ManifestText.HOST
                        + "\r\nRequest-Id: "
                        + id
                        + "\r\nAuthorization: Bearer "
                        + DeployedInstance.KEY
                        + "\r\nDeadline-Ms: "
                        + DeployedInstance.TIMEOUT_MILLIS
                        + "\r\n"
                        + framing
                        + "\r\n\r\n";
        mSocket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return this;
    }

    void text(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    RawCaller body(int bytes) throws IOException {
        mSocket.getOutputStream().write(new byte[bytes]);
        return this;
    }

    /** Returns the head of the response, empty if the connection ends without one. */
    String response() throws IOException {
        StringBuilder head = new StringBuilder();
        InputStream input = mSocket.getInputStream();
        try {
            int next = input.read();
            while (next >= 0) {
                head.append((char) next);
                if (head.length() >= 4 && head.indexOf("\r\n\r\n") >= 0) {
                    return head.toString();
                }
                next = input.read();
            }
        } catch (SocketTimeoutException e) {
            return "no response in time";
        }
        return "";
    }

    /** Returns the status of the response, 0 without one. */
    int status() throws IOException {
        String head = response();
        return head.startsWith("HTTP/1.1 ") ? Integer.parseInt(head.split(" ", 3)[1]) : 0;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
