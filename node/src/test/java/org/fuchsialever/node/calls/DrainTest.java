package org.fuchsialever.node.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.node.NodeMain;
import org.fuchsialever.node.dispatch.CallDrain;
import org.fuchsialever.node.http.Readiness;
import org.junit.jupiter.api.Test;

/** Guards against requests that outlive their caller and responses truncated by a shutdown. */
class DrainTest extends CallFixture {
    private static final String CALL = "{\"prompt\":\"p\",\"stream\":true,\"max_tokens\":2}";

    @Test
    void cancelsTheWorkOfACallerThatLeaves() throws Exception {
        mFirstEngine.then(
                (request, response) -> {
                    response.beginStream();
                    response.tokens("a", 0, 1, 1);
                    response.staySilent();
                });
        try (Socket caller = send("/v1/completions", CALL)) {
            readUntil(reader(caller), "w0");
        }

        String id = mFirstEngine.requests().get(0).headers().get("X-Request-Id");
        assertThat(mFirstEngine.awaitCancellation(), is("/v1/requests/" + id));
    }

    @Test
    void finishesARunningStreamAndRefusesNewRequestsWhileDraining() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        mFirstEngine.then(
                (request, response) -> {
                    response.beginStream();
                    response.tokens("a", 0, 1, 1);
                    release.await();
                    response.tokens("a", 1, 2, 1);
                    response.done();
                });
        mPlainService.then((request, response) -> response.send(200, "booked"));
        try (Socket streaming = send("/v1/completions", CALL);
                Socket persistent = send("/book", "{}")) {
            BufferedReader stream = reader(streaming);
            BufferedReader other = reader(persistent);
            readUntil(stream, "w0");
            readUntil(other, "booked");
            assertThat(mNode.service(Readiness.class).isReady(), is(true));

            mNode.service(HttpFrontEnd.class).drain();
            mNode.service(CallDrain.class).drain();
            write(persistent, "/book", "{}");
            String refusal = readUntil(other, "not_run");
            release.countDown();
            String remainder = readUntil(stream, "[DONE]");
            mNode.close();

            assertThat(refusal, containsString("connection: close"));
            assertThat(refusal, containsString("\"code\":\"draining\""));
            assertThat(remainder, containsString("w1"));
            assertThat(remainder, endsWith("[DONE]"));
            assertThat(mNode.service(Readiness.class).isReady(), is(false));
        }
    }

    @Test
    void exitsWithZeroOnSigterm() throws Exception {
        Path settings = mFolder.resolve("node.ini");
        Files.writeString(settings, settings());
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                NodeMain.class.getName(),
                                "--settings",
                                settings.toString())
                        .redirectErrorStream(true)
                        .start();
        BufferedReader log =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        readUntil(log, "Instance is running.");

        process.toHandle().destroy();

        assertThat(process.waitFor(), is(0));
    }

    private Socket send(String path, String body) throws IOException {
        Socket socket = new Socket("127.0.0.1", port());
        socket.setSoTimeout(30_000);
        write(socket, path, body);
        return socket;
    }

    private static void write(Socket socket, String path, String body) throws IOException {
        String text =
                "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
                        .formatted(path, body.length(), body);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    private static String readUntil(BufferedReader reader, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int next = reader.read();
            if (next < 0) {
                throw new AssertionError("ended before \"" + end + "\": " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }
}
