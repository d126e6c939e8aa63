package org.fuchsialever.services.exchange;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Responds to the requests of all connections with given bytes, one after the other. */
final class ScriptedServer implements AutoCloseable {
    /** Suffix of a response after which the connection is closed. */
    static final String CLOSE = "<close>";

    /** Suffix of a response after which the connection is reset. */
    static final String RESET = "<reset>";

    /** Suffix of a response after which the same byte is sent again and again, with pauses. */
    static final String DRIP = "<drip>";

    /** Suffix of a response after which bytes are sent without end or pause. */
    static final String FLOOD = "<flood>";

    /** Prefix of a response before which the previous one of the connection is sent again. */
    static final String AGAIN = "<again>";

    private static final long DRIP_INTERVAL_MILLIS = 100;
    private static final int FLOOD_BLOCK_BYTES = 8_192;

    private final ServerSocket mSocket;
    private final Iterator<String> mResponses;
    private final AtomicInteger mConnections = new AtomicInteger();
    private final AtomicLong mSentBytes = new AtomicLong();

    ScriptedServer(String... responses) throws IOException {
        mSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mResponses = List.of(responses).iterator();
        start("scripted-server", this::accept);
    }

    int port() {
        return mSocket.getLocalPort();
    }

    int connections() {
        return mConnections.get();
    }

    /** Returns the number of bytes that were sent without end. */
    long floodedBytes() {
        return mSentBytes.get();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket connection = mSocket.accept();
                mConnections.incrementAndGet();
                start("scripted-connection", () -> serveUntilClosed(connection));
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

    private void serveUntilClosed(Socket connection) {
        try (connection) {
            serve(connection);
        } catch (IOException e) {
            // The client closed the connection or the test has ended.
            return;
        }
    }

    private synchronized String nextResponse() {
        return mResponses.hasNext() ? mResponses.next() : "";
    }

    /** Ends with an exception when the client has closed the connection. */
    private void sendWithoutEnd(Socket connection, boolean drip) throws IOException {
        byte[] block = "x".repeat(drip ? 1 : FLOOD_BLOCK_BYTES).getBytes(StandardCharsets.US_ASCII);
        CountDownLatch never = new CountDownLatch(1);
        while (!mSocket.isClosed()) {
            connection.getOutputStream().write(block);
            connection.getOutputStream().flush();
            mSentBytes.addAndGet(block.length);
            try {
                if (drip && never.await(DRIP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
                    return;
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void serve(Socket connection) throws IOException {
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                connection.getInputStream(), StandardCharsets.US_ASCII));
        String previous = "";
        String line = reader.readLine();
        while (line != null) {
            if (line.isEmpty()) {
                String response = nextResponse();
                boolean reset = response.endsWith(RESET);
                String own = response.replaceAll("^<[a-z]+>|<[a-z]+>$", "");
                String bytes = response.startsWith(AGAIN) ? previous + own : own;
                previous = own;
                connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
                connection.getOutputStream().flush();
                if (reset) {
                    connection.setSoLinger(true, 0);
                }
                if (reset || response.endsWith(CLOSE)) {
                    return;
                }
                if (response.endsWith(DRIP) || response.endsWith(FLOOD)) {
                    sendWithoutEnd(connection, response.endsWith(DRIP));
                }
            }
            line = reader.readLine();
        }
    }
}
