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
import java.util.concurrent.atomic.AtomicInteger;

/** Responds to the requests of all connections with given bytes, one after the other. */
final class ScriptedServer implements AutoCloseable {
    /** Suffix of a response after which the connection is closed. */
    static final String CLOSE = "<close>";

    /** Suffix of a response after which the connection is reset. */
    static final String RESET = "<reset>";

    private final ServerSocket mSocket;
    private final Iterator<String> mResponses;
    private final AtomicInteger mConnections = new AtomicInteger();

    ScriptedServer(String... responses) throws IOException {
        mSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mResponses = List.of(responses).iterator();
        Thread thread = new Thread(this::accept, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return mSocket.getLocalPort();
    }

    int connections() {
        return mConnections.get();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try (Socket connection = mSocket.accept()) {
                mConnections.incrementAndGet();
                serve(connection);
            } catch (IOException e) {
                // The client closed the connection or the test has ended; the next one is accepted.
                continue;
            }
        }
    }

    private void serve(Socket connection) throws IOException {
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                connection.getInputStream(), StandardCharsets.US_ASCII));
        String line = reader.readLine();
        while (line != null) {
            if (line.isEmpty() && mResponses.hasNext()) {
                String response = mResponses.next();
                boolean reset = response.endsWith(RESET);
                String bytes = response.replace(CLOSE, "").replace(RESET, "");
                connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
                connection.getOutputStream().flush();
                if (reset) {
                    connection.setSoLinger(true, 0);
                }
                if (reset || response.endsWith(CLOSE)) {
                    return;
                }
            }
            line = reader.readLine();
        }
    }
}
