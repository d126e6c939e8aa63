package org.fuchsialever.node.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.fuchsialever.platform.ManifestText;
import org.junit.jupiter.api.Test;

/** Items whose route moves to another service while they run. */
class MovedItemsTest {
    private static final int ITEMS = 24;
    private static final int EVENTS = 1_000;
    private static final int MOVES = 20;
    private static final long EVENT_MICROS = 2_000;
    private static final long MOVE_MILLIS = 150;
    private static final String ENGINES =
            "{\"name\":\"engines\",\"maxConns\":99,\"engine\":{\"models\":[{\"name\":\"m\"}]}}";

    private final AtomicInteger mRuns = new AtomicInteger();
    private final CountDownLatch mNever = new CountDownLatch(1);

    /** Guards against a text that goes on with a run which was asked for other events. */
    @Test
    void haveTextsWhoseRunsGoOnWhereTheFormerRunEnded() throws Exception {
        try (HostedFixture fixture = new HostedFixture();
                ServerSocket first = new ServerSocket(0, 99, InetAddress.getLoopbackAddress());
                ServerSocket second = new ServerSocket(0, 99, InetAddress.getLoopbackAddress())) {
            fixture.mStore.write("op", "config", manifest(2, "engines"));
            fixture.upstream("p1", "plain");
            register(fixture, "e1", "engines", first);
            register(fixture, "e2", "engines2", second);
            fixture.start("n1");
            fixture.awaitServing("n1");
            String[] items =
                    IntStream.range(0, ITEMS).mapToObj(n -> "x" + n).toArray(String[]::new);
            fixture.submit("n1", "b1", items);
            for (int move = 1; move <= MOVES; move++) {
                mNever.await(MOVE_MILLIS, TimeUnit.MILLISECONDS);
                String service = move % 2 == 1 ? "engines2" : "engines";
                fixture.mStore.write("op", "config", manifest(2 + move, service));
            }
            List<String> joints = new ArrayList<>();
            for (JsonNode result : fixture.results("n1", "b1", ITEMS).path("results")) {
                collectFalseJoints(result, joints);
            }
            assertThat(mRuns.get() + " runs " + joints, joints.size(), is(0));
        }
    }

    /** An event reads RUN/EVENT BEFORE THE FIRST/EVENT. */
    private static void collectFalseJoints(JsonNode result, List<String> joints) {
        String[] events = result.path("message").asText().split("\n");
        String[] former = {"", "0", "0"};
        for (String event : events) {
            String[] parts = event.split("/");
            if (!parts[0].equals(former[0]) && !parts[1].equals(former[2])) {
                joints.add(
                        result.path("id").asText() + " " + String.join("/", former) + " " + event);
            }
            former = parts;
        }
        if (events.length != EVENTS) {
            joints.add(result.path("id").asText() + " has " + events.length);
        }
    }

    private static String manifest(int version, String service) {
        String text =
                ManifestText.of(version, HostedFixture.KEY)
                        .replace(
                                ENGINES,
                                ENGINES + "," + ENGINES.replace("\"engines\"", "\"engines2\""));
        int route = text.indexOf("\"name\":\"rollout\"");
        return text.substring(0, route)
                + text.substring(route)
                        .replaceFirst("\"service\":\"engines\"", "\"service\":\"" + service + "\"");
    }

    private void register(HostedFixture fixture, String id, String service, ServerSocket server) {
        fixture.mStore.write(
                "servers",
                id,
                "{\"service\":\""
                        + service
                        + "\",\"address\":\"127.0.0.1:"
                        + server.getLocalPort()
                        + "\",\"zone\":\"z\",\"slots\":64,\"state\":\"ready\",\"seq\":1,"
                        + "\"born\":1,\"models\":[{\"name\":\"m\",\"version\":1}]}");
        start(
                () -> {
                    while (!server.isClosed()) {
                        Socket connection = server.accept();
                        start(() -> serve(connection));
                    }
                });
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void start(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The connection was closed or the test has ended.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.US_ASCII));
            String line = reader.readLine();
            while (line != null) {
                String requestLine = line;
                String id = "";
                int last = 0;
                int length = 0;
                while (line != null && !line.isEmpty()) {
                    String[] field = line.split(": ", 2);
                    id = field[0].equalsIgnoreCase("Request-Id") ? field[1] : id;
                    last =
                            field[0].equalsIgnoreCase("Last-Event-Id")
                                    ? Integer.parseInt(field[1])
                                    : last;
                    length =
                            field[0].equalsIgnoreCase("Content-Length")
                                    ? Integer.parseInt(field[1])
                                    : length;
                    line = reader.readLine();
                }
                for (int read = 0; read < length; read++) {
                    reader.read();
                }
                respond(connection.getOutputStream(), requestLine, id, last);
                line = reader.readLine();
            }
        }
    }

    private void respond(OutputStream output, String requestLine, String id, int last)
            throws IOException, InterruptedException {
        if (requestLine.contains("/api/")) {
            String report =
                    "{\"seq\":0,\"busy\":false,\"models\":[{\"name\":\"m\",\"version\":1}]}";
            write(
                    output,
                    "HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
            return;
        }
        String run = "r" + mRuns.incrementAndGet();
        write(
                output,
                "HTTP/1.1 200 OK\r\nRequest-Id: "
                        + id
                        + "\r\nResponse-Stamp: s\r\nWeight-Versions: 1\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = last + 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: " + run + "/" + last + "/" + event + "\n\n";
            write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            mNever.await(EVENT_MICROS, TimeUnit.MICROSECONDS);
        }
        write(output, "0\r\n\r\n");
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }
}
