package org.fuchsialever.node.calls;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * An upstream whose responses a test scripts byte by byte. It responds to probes and cancellations
 * itself; every other request runs the next step of the script.
 */
final class ScriptedUpstream implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 30;

    private final ServerSocket mServer;
    private final Queue<Step> mScript = new ConcurrentLinkedQueue<>();
    private final List<Request> mRequests = new CopyOnWriteArrayList<>();
    private final LinkedBlockingQueue<String> mCancellations = new LinkedBlockingQueue<>();
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final CountDownLatch mClosed = new CountDownLatch(1);

    ScriptedUpstream() throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    int port() {
        return mServer.getLocalPort();
    }

    ScriptedUpstream then(Step step) {
        mScript.add(step);
        return this;
    }

    List<Request> requests() {
        return mRequests;
    }

    /** Returns the path of the next cancellation, or fails if none arrives. */
    String awaitCancellation() throws InterruptedException {
        String path = mCancellations.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (path == null) {
            throw new AssertionError("no cancellation arrived");
        }
        return path;
    }

    @Override
    public void close() throws IOException {
        mClosed.countDown();
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            Request request = Request.read(in);
            while (request != null) {
                respond(request, new Response(socket, mClosed));
                request = Request.read(in);
            }
        } catch (IOException | InterruptedException e) {
            // The script or the instance has closed the connection.
        }
    }

    private void respond(Request request, Response response)
            throws IOException, InterruptedException {
        if (request.path().equals("/engine/load")) {
            response.send(200, "{}");
        } else if (request.method().equals("DELETE")) {
            mCancellations.add(request.path());
            response.send(200, "{}");
        } else {
            mRequests.add(request);
            Step step = mScript.poll();
            if (step == null) {
                response.send(500, "{\"error\":{\"code\":\"unexpected\"}}");
            } else {
                step.run(request, response);
            }
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "scripted-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes one response. */
    interface Step {
        void run(Request request, Response response) throws IOException, InterruptedException;
    }

    /** A received request. */
    record Request(String method, String path, Map<String, String> headers, String body) {
        static @org.jspecify.annotations.Nullable Request read(InputStream in) throws IOException {
            String first = line(in);
            if (first.isEmpty()) {
                return null;
            }
            Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            String field = line(in);
            while (!field.isEmpty()) {
                int colon = field.indexOf(':');
                headers.put(field.substring(0, colon), field.substring(colon + 1).strip());
                field = line(in);
            }
            int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
            String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
            String[] parts = first.split(" ");
            return new Request(parts[0], parts[1], headers, body);
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int next = in.read();
            while (next >= 0 && next != '\n') {
                if (next != '\r') {
                    line.write(next);
                }
                next = in.read();
            }
            return line.toString(StandardCharsets.UTF_8);
        }
    }

    /** Writes a response to a connection. */
    record Response(Socket socket, CountDownLatch closed) {
        void send(int status, String body) throws IOException {
            sendRaw(
                    "HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                            .formatted(status, body.length(), body));
        }

        void sendRaw(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void beginStream() throws IOException {
            sendRaw(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
        }

        void tokens(String start, int from, int to, int version) throws IOException {
            for (int i = from; i < to; i++) {
                event(
                        ("{\"choices\":[{\"index\":0,\"text\":\"w%d \"}],\"engine\":{\"start\":"
                                        + "\"%s\",\"weight_version\":%d,\"token_index\":%d}}")
                                .formatted(i, start, version, i));
            }
        }

        void event(String data) throws IOException {
            String event = "data: " + data + "\n\n";
            sendRaw("%x\r\n%s\r\n".formatted(event.length(), event));
        }

        void endStream() throws IOException {
            sendRaw("0\r\n\r\n");
        }

        void done() throws IOException {
            event("[DONE]");
            endStream();
        }

        void disconnect() throws IOException {
            socket.close();
        }

        void staySilent() throws InterruptedException {
            closed.await();
        }
    }
}
