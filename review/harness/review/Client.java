package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A requester or trainer: one connection that may carry several requests, one after another. */
final class Client implements AutoCloseable {
    private final Socket mSocket = new Socket();
    private final InputStream mIn;

    Client(int port, int timeoutMillis) throws IOException {
        mSocket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(timeoutMillis);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    /** What came back: status 0 without a head; complete only with the whole body. */
    record Answer(int status, Map<String, String> headers, byte[] body, String end) {
        boolean complete() {
            return end.equals("complete");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    void send(String method, String uri, Map<String, String> fields, byte[] body)
            throws IOException {
        Map<String, String> all = new LinkedHashMap<>(fields);
        if (body.length > 0 || method.equals("POST")) {
            all.put("Content-Length", Integer.toString(body.length));
        }
        StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
        all.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        mSocket.getOutputStream()
                .write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        mSocket.getOutputStream().write(body);
        mSocket.getOutputStream().flush();
    }

    Answer receive() {
        int status = 0;
        Map<String, String> headers = Map.of();
        java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
        try {
            String first = MiniServer.line(mIn);
            if (first == null) {
                return new Answer(0, headers, new byte[0], "closed without an answer");
            }
            status = Integer.parseInt(first.split(" ")[1]);
            headers = MiniServer.fields(mIn);
            if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
                while (true) {
                    String size = MiniServer.line(mIn);
                    if (size == null) {
                        return new Answer(
                                status, headers, body.toByteArray(), "closed before the end");
                    }
                    int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                    body.writeBytes(MiniServer.exactly(mIn, length));
                    MiniServer.line(mIn);
                    if (length == 0) {
                        break;
                    }
                }
            } else if (headers.containsKey("content-length")) {
                body.writeBytes(
                        MiniServer.exactly(mIn, Integer.parseInt(headers.get("content-length"))));
            } else {
                // The body ends with its channel; a reset throws, so that it is not complete.
                for (int next = mIn.read(); next >= 0; next = mIn.read()) {
                    body.write(next);
                }
            }
            return new Answer(status, headers, body.toByteArray(), "complete");
        } catch (java.net.SocketTimeoutException e) {
            return new Answer(status, headers, body.toByteArray(), "no answer in time");
        } catch (IOException e) {
            return new Answer(status, headers, body.toByteArray(), "broken: " + e.getMessage());
        }
    }

    Answer call(String method, String uri, Map<String, String> fields, byte[] body)
            throws IOException {
        send(method, uri, fields, body);
        return receive();
    }

    /** One call on a connection of its own; status 0 if there was no connection. */
    static Answer once(
            int port,
            int timeoutMillis,
            String method,
            String uri,
            Map<String, String> fields,
            byte[] body) {
        try (Client client = new Client(port, timeoutMillis)) {
            return client.call(method, uri, fields, body);
        } catch (IOException e) {
            return new Answer(0, Map.of(), new byte[0], "no connection: " + e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
