package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on the loopback address with one thread for each connection. */
final class MiniServer implements AutoCloseable {
    /** Handles one request; an exception closes the connection. */
    interface Handler {
        void handle(Exchange exchange) throws Exception;
    }

    private final ServerSocket mListener;
    private final Handler mHandler;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile boolean mClosed;

    MiniServer(Handler handler) throws IOException {
        mHandler = handler;
        mListener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        start("accept", this::accept);
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Closes all connections with a reset and stops listening, as a killed process does. */
    @Override
    public void close() {
        mClosed = true;
        try {
            mListener.close();
        } catch (IOException e) {
            // Already closed.
        }
        mOpen.forEach(MiniServer::reset);
    }

    private static void start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mClosed) {
            try {
                Socket socket = mListener.accept();
                socket.setTcpNoDelay(true);
                mOpen.add(socket);
                start("connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            PushbackInputStream in = new PushbackInputStream(socket.getInputStream(), 1);
            while (!mClosed) {
                Exchange exchange = Exchange.read(socket, in);
                if (exchange == null) {
                    break;
                }
                mHandler.handle(exchange);
                if (exchange.mCloseAfter) {
                    break;
                }
            }
        } catch (Exception e) {
            // The peer has left or the handler gave up; the connection ends.
        } finally {
            mOpen.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                // Already closed.
            }
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Already closed.
        }
    }

    /** Reads a line without its end; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads header fields into a map with names in lower case. */
    static Map<String, String> fields(InputStream in) throws IOException {
        Map<String, String> fields = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                fields.put(
                        line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
            }
        }
        return fields;
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("ended early");
        }
        return bytes;
    }

    /** Reads a chunked body; throws if it ends before its last chunk. */
    static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new IOException("ended before the last chunk");
            }
            int length = Integer.parseInt(size.split(";")[0].strip(), 16);
            body.writeBytes(exactly(in, length));
            line(in);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    /** One request and the means to answer it. */
    static final class Exchange {
        final Socket socket;
        final String method;
        final String uri;
        final String path;
        final Map<String, String> query = new LinkedHashMap<>();
        final Map<String, String> headers;
        final byte[] body;
        private final PushbackInputStream mIn;
        private final OutputStream mOut;
        private boolean mCloseAfter;

        private Exchange(
                Socket socket,
                PushbackInputStream in,
                String method,
                String uri,
                Map<String, String> headers,
                byte[] body)
                throws IOException {
            this.socket = socket;
            this.method = method;
            this.uri = uri;
            this.headers = headers;
            this.body = body;
            mIn = in;
            mOut = socket.getOutputStream();
            int mark = uri.indexOf('?');
            path = mark < 0 ? uri : uri.substring(0, mark);
            if (mark >= 0) {
                for (String pair : uri.substring(mark + 1).split("&")) {
                    int equals = pair.indexOf('=');
                    if (equals > 0) {
                        query.put(
                                pair.substring(0, equals),
                                URLDecoder.decode(
                                        pair.substring(equals + 1), StandardCharsets.UTF_8));
                    }
                }
            }
        }

        private static Exchange read(Socket socket, PushbackInputStream in) throws IOException {
            String first = line(in);
            if (first == null) {
                return null;
            }
            String[] words = first.split(" ");
            Map<String, String> headers = fields(in);
            byte[] body = new byte[0];
            if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
                body = chunks(in);
            } else if (headers.containsKey("content-length")) {
                body = exactly(in, Integer.parseInt(headers.get("content-length")));
            }
            return new Exchange(socket, in, words[0], words[1], headers, body);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        private void head(int status, Map<String, String> fields) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
            fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            mOut.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        }

        void respond(int status, Map<String, String> fields, byte[] content) throws IOException {
            Map<String, String> all = new LinkedHashMap<>(fields);
            all.put("Content-Length", Integer.toString(content.length));
            head(status, all);
            mOut.write(content);
            mOut.flush();
        }

        void startChunks(int status, Map<String, String> fields) throws IOException {
            Map<String, String> all = new LinkedHashMap<>(fields);
            all.put("Transfer-Encoding", "chunked");
            head(status, all);
            mOut.flush();
        }

        void chunk(byte[] content) throws IOException {
            mOut.write((Integer.toHexString(content.length) + "\r\n").getBytes());
            mOut.write(content);
            mOut.write("\r\n".getBytes());
            mOut.flush();
        }

        void endChunks() throws IOException {
            mOut.write("0\r\n\r\n".getBytes());
            mOut.flush();
        }

        /** Resets the connection. */
        void abort() {
            mCloseAfter = true;
            reset(socket);
        }

        /** Waits; returns false as soon as the peer has closed the connection. */
        boolean pause(long millis) throws IOException {
            long end = System.nanoTime() + millis * 1_000_000;
            while (true) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    return true;
                }
                socket.setSoTimeout((int) left);
                try {
                    int next = mIn.read();
                    if (next < 0) {
                        return false;
                    }
                    mIn.unread(next);
                    Thread.sleep(Math.max(1, Math.min(left, 5)));
                } catch (SocketTimeoutException e) {
                    return true;
                } catch (InterruptedException e) {
                    return false;
                } catch (IOException e) {
                    return false;
                } finally {
                    socket.setSoTimeout(0);
                }
            }
        }
    }
}
