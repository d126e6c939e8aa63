import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Sends each request on a connection of its own, without repeats. */
final class Caller {
    /** A response; the status is 0 if the connection ended without a whole one. */
    record Response(int status, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Caller() {}

    static Response call(
            int port, String method, String path, Map<String, String> fields, byte[] body, int waitMillis) {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(waitMillis);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (body != null) {
                head.append("Content-Length: " + body.length + "\r\n");
            }
            head.append("\r\n");
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) {
                socket.getOutputStream().write(body);
            }
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        } catch (IOException e) {
            return new Response(0, Map.of(), e.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private static Response read(InputStream in) throws IOException {
        int status = Integer.parseInt(line(in).split(" ")[1]);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon), next.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).equals("chunked")) {
            for (int size = Integer.parseInt(line(in), 16);
                    size > 0;
                    size = Integer.parseInt(line(in), 16)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else {
            body.write(exactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0"))));
        }
        return new Response(status, headers, body.toByteArray());
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the response is cut");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the response is cut");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }
}
