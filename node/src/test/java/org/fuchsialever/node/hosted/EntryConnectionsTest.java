package org.fuchsialever.node.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.fuchsialever.platform.ManifestText;
import org.junit.jupiter.api.Test;

/** Responses on connections that callers keep, tear or leave. */
class EntryConnectionsTest {
    private static final int WAIT_MILLIS = 10_000;

    /** Below the timeout of the route, which would end the run as well. */
    private static final int LEAVE_MILLIS = 1_500;

    /** Guards against a body that is read as a request after its request was refused. */
    @Test
    void answersTheNextCallAfterOneThatWasRefusedBeforeItsBodyArrived() throws Exception {
        try (HostedFixture fixture = HostedFixture.running();
                Socket caller = connect(fixture)) {
            String smuggled = head("GET", "/safe/smuggled", "smuggled", 0);
            write(caller, head("POST", "/absent/x", "r1", smuggled.length()));
            assertThat(response(caller), startsWith("HTTP/1.1 404"));
            write(caller, smuggled + head("GET", "/safe/x", "r2", 0));
            assertThat(response(caller), containsString("body of r2"));
            assertThat(fixture.upstream("p1").executionCount("smuggled"), is(0));
        }
    }

    /** As above, with chunks and a part of the body that arrives with the head. */
    @Test
    void answersTheNextCallAfterOneThatWasRefusedInTheMiddleOfItsChunks() throws Exception {
        try (HostedFixture fixture = HostedFixture.running();
                Socket caller = connect(fixture)) {
            String head =
                    head("POST", "/absent/x", "r1", 0)
                            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
            write(caller, head + "5\r\nab");
            assertThat(response(caller), startsWith("HTTP/1.1 404"));
            write(caller, "cde\r\n3\r\nfgh\r\n0\r\n\r\n" + head("GET", "/safe/x", "r2", 0));
            assertThat(response(caller), containsString("body of r2"));
        }
    }

    @Test
    void answersPipelinedCallsInTheirOrder() throws Exception {
        try (HostedFixture fixture = HostedFixture.running();
                Socket caller = connect(fixture)) {
            write(
                    caller,
                    head("GET", "/safe/x", "r1", 0)
                            + head("POST", "/absent/x", "r2", 3)
                            + "abc"
                            + head("GET", "/safe/x", "r3", 0));
            assertThat(response(caller), containsString("body of r1"));
            String second = response(caller);
            assertThat(second, startsWith("HTTP/1.1 404"));
            assertThat(second, containsString("r2"));
            assertThat(response(caller), containsString("body of r3"));
        }
    }

    @Test
    void runsNoCallWhoseBodyIsTorn() throws Exception {
        try (HostedFixture fixture = HostedFixture.running()) {
            try (Socket caller = connect(fixture)) {
                write(caller, head("POST", "/unsafe/x", "torn", 9) + "part");
                caller.shutdownOutput();
                assertThat(response(caller), not(startsWith("HTTP/1.1 2")));
            }
            assertThat(
                    fixture.call("n1", "POST", "/unsafe/x", "r2", HostedFixture.KEY, "").status(),
                    is(200));
            assertThat(fixture.upstream("p1").executionCount("torn"), is(0));
        }
    }

    /** Guards against runs that go on for a caller who has left in the middle of a stream. */
    @Test
    void endsTheRunOfAStreamWhoseCallerLeaves() throws Exception {
        assertThat(isRunEndedOnceTheCallerLeaves(0), is(true));
    }

    @Test
    void endsTheRunOfAStreamWhoseCallerLeavesAtItsNextEvents() throws Exception {
        assertThat(isRunEndedOnceTheCallerLeaves(10), is(true));
    }

    private static boolean isRunEndedOnceTheCallerLeaves(int furtherEvents) throws Exception {
        try (HostedFixture fixture = new HostedFixture();
                ServerSocket engine = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            fixture.mStore.write("op", "config", ManifestText.of(2, HostedFixture.KEY));
            fixture.upstream("p1", "plain");
            fixture.mStore.write(
                    "servers",
                    "e1",
                    "{\"service\":\"engines\",\"address\":\"127.0.0.1:"
                            + engine.getLocalPort()
                            + "\",\"zone\":\"z\",\"slots\":8,\"state\":\"ready\",\"seq\":1,"
                            + "\"born\":1,\"models\":[{\"name\":\"m\",\"version\":1}]}");
            fixture.start("n1");
            fixture.awaitServing("n1");
            Socket caller = connect(fixture);
            write(
                    caller,
                    head("POST", "/stream/x", "s1", 0)
                            .replace("Content-Length", "Model: m\r\nContent-Length"));
            try (Socket run = acceptRun(engine)) {
                write(
                        run,
                        "HTTP/1.1 200 OK\r\nRequest-Id: s1\r\nResponse-Stamp: s\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + event(1));
                assertThat(head(caller), startsWith("HTTP/1.1 200"));
                caller.setSoLinger(true, 0);
                caller.close();
                return isClosed(run, furtherEvents);
            }
        }
    }

    private static boolean isClosed(Socket run, int furtherEvents) throws IOException {
        run.setSoTimeout(LEAVE_MILLIS / (furtherEvents + 1));
        for (int number = 2; number <= furtherEvents + 2; number++) {
            try {
                return run.getInputStream().read() < 0;
            } catch (SocketTimeoutException e) {
                if (number < furtherEvents + 2) {
                    write(run, event(number));
                }
            }
        }
        return false;
    }

    private static String event(int number) {
        String text = "id: " + number + "\ndata: d\n\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Other connections are those of reports. */
    private static Socket acceptRun(ServerSocket engine) throws IOException {
        engine.setSoTimeout(WAIT_MILLIS);
        while (true) {
            Socket connection = engine.accept();
            connection.setSoTimeout(WAIT_MILLIS);
            if (head(connection).contains("/stream/x")) {
                return connection;
            }
            connection.close();
        }
    }

    private static Socket connect(HostedFixture fixture) throws IOException {
        Socket socket = new Socket("127.0.0.1", fixture.port("n1"));
        socket.setSoTimeout(WAIT_MILLIS);
        return socket;
    }

    private static String head(String method, String path, String id, int length) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: "
                + ManifestText.HOST
                + "\r\nRequest-Id: "
                + id
                + "\r\nAuthorization: Bearer "
                + HostedFixture.KEY
                + "\r\nDeadline-Ms: 3000\r\nContent-Length: "
                + length
                + "\r\n\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String head(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        InputStream input = socket.getInputStream();
        int next = input.read();
        while (next >= 0) {
            head.append((char) next);
            if (next == '\n' && head.toString().endsWith("\r\n\r\n")) {
                return head.toString();
            }
            next = input.read();
        }
        return head.toString();
    }

    /** Reads a response, whose body has a length or chunks. */
    private static String response(Socket socket) throws IOException {
        String head = head(socket);
        if (head.toLowerCase(java.util.Locale.ROOT).contains("transfer-encoding: chunked")) {
            StringBuilder body = new StringBuilder();
            while (!body.toString().endsWith("0\r\n\r\n")) {
                body.append((char) socket.getInputStream().read());
            }
            return head + body;
        }
        java.util.regex.Matcher length =
                java.util.regex.Pattern.compile("(?i)content-length: ([0-9]+)").matcher(head);
        byte[] body =
                socket.getInputStream()
                        .readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        return head + new String(body, StandardCharsets.US_ASCII);
    }
}
