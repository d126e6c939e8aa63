package org.fuchsialever.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against injected faults that affect too few or too many requests. */
class FaultControlTest {
    private static final String COMMIT =
            "{'writer':'w','puts':[{'table':'t','key':'k','value':'v'}]}";
    private static final String READ = "GET /tables/t/rows/k HTTP/1.1\r\nHost: x\r\n\r\n";

    private final TestClient mClient = new TestClient();
    private final TableServiceStandIn mTables = new TableServiceStandIn();

    @AfterEach
    void stop() {
        mTables.close();
    }

    @Test
    void losesOneAnswerAfterTheChangeTookEffect() throws Exception {
        mTables.faults().set(FaultMode.LOSE_ANSWER, Duration.ZERO, 1);

        assertThrows(IOException.class, () -> mClient.post(mTables, "/tables/commit", COMMIT));
        assertThat(mTables.value("t", "k").get(), is("v"));
        assertThat(mTables.revision(), is(1L));
        assertThat(mClient.post(mTables, "/tables/commit", COMMIT).status(), is(200));
    }

    @Test
    void failsWithoutRunningTheRequest() throws Exception {
        mClient.post(mTables, "/stand-in/faults", "{'mode':'fail','count':1}");

        assertThat(mClient.post(mTables, "/tables/commit", COMMIT).status(), is(500));
        assertThat(mTables.revision(), is(0L));
        assertThat(mTables.calls("commit"), is(1L));
    }

    @Test
    void silencesOnlyTheConnectionsThatAreOpen() throws Exception {
        mTables.put("t", "k", "v");
        try (Socket before = connect();
                Socket after = new Socket()) {
            write(before, READ);
            assertThat(readResponse(before), startsWith("HTTP/1.1 200"));

            mTables.faults().set(FaultMode.SILENT);
            write(before, READ);
            after.connect(before.getRemoteSocketAddress());
            write(after, READ);
            assertThat(readResponse(after), startsWith("HTTP/1.1 200"));

            // The server responds to what it has read before it notices the end of the stream
            // and closes the connection, so the read returns in any case.
            before.shutdownOutput();
            assertThat(before.getInputStream().read(), is(-1));
        }
    }

    @Test
    void refusesConnectionsWhileDownAndKeepsItsPort() throws Exception {
        int port = mTables.port();
        mTables.faults().set(FaultMode.DOWN);
        assertThrows(IOException.class, () -> mClient.get(mTables, "/tables/t/rows"));

        mTables.faults().set(FaultMode.NONE);
        assertThat(mTables.port(), is(port));
        assertThat(mClient.get(mTables, "/tables/t/rows").status(), is(200));
    }

    @Test
    void staysClosedWhenAFaultEndsAfterwards() {
        mTables.faults().set(FaultMode.DOWN);
        mTables.close();
        mTables.faults().set(FaultMode.NONE);

        assertThrows(IOException.class, () -> mClient.get(mTables, "/tables/t/rows"));
    }

    @Test
    void refusesToGoDownOverHttpWithoutAnEnd() throws Exception {
        assertThat(mClient.post(mTables, "/stand-in/faults", "{'mode':'down'}").status(), is(400));
        assertThat(mClient.post(mTables, "/stand-in/faults", "{'mode':'other'}").status(), is(400));
        assertThat(mTables.faults().mode(), is(FaultMode.NONE));
    }

    private Socket connect() throws IOException {
        return new Socket(StandInServer.HOST, mTables.port());
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readResponse(Socket socket) throws IOException {
        // Head and body may arrive separately; the body is a JSON object without nested objects.
        StringBuilder response = new StringBuilder();
        int next = socket.getInputStream().read();
        while (next >= 0) {
            response.append((char) next);
            if (next == '}') {
                break;
            }
            next = socket.getInputStream().read();
        }
        return response.toString();
    }
}
