package org.fuchsialever.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.standins.EngineStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A live call through sockets: caller, instance, engine and back. */
class LiveCallTest {
    private static final int TOKENS = 20;

    @TempDir Path mFolder;

    private EngineStandIn mEngine;
    private NodeProcess mNode;
    private final HttpClient mClient = HttpClient.newHttpClient();

    @BeforeEach
    void startEngineAndInstance() throws IOException {
        mEngine = new EngineStandIn("engine-start-1", Duration.ofMillis(1));
        Path routes = mFolder.resolve("routes.ini");
        Path pools = mFolder.resolve("pools.ini");
        Files.writeString(
                routes,
                """
                [route chat]
                path = /v1/completions
                kind = live
                pool = small
                access = open
                """);
        Files.writeString(
                pools,
                """
                [pool small]
                kind = engine
                model = small
                [upstream engine-1]
                pool = small
                address = 127.0.0.1
                port = %d
                failure-domain = fd-1
                """
                        .formatted(mEngine.port()));
        String settings =
                """
                [node]
                name = node-1
                region = region-1
                failure-domain = fd-1
                http-address = 127.0.0.1
                components = identity, table-files, open-routes, dispatch, readiness, \
                endpoints, front-end
                [tables]
                routes = %s
                pools = %s
                """
                        .formatted(routes, pools);
        mNode =
                NodeProcess.start("node.ini", settings)
                        .getOrElseThrow(findings -> new AssertionError(findings.report()));
    }

    @AfterEach
    void stopEngineAndInstance() {
        mNode.close();
        mEngine.close();
    }

    @Test
    void streamsEveryTokenOnceAndInOrder() throws Exception {
        HttpResponse<String> response =
                post("/v1/completions", "{\"prompt\":\"p\",\"stream\":true,\"max_tokens\":20}");

        assertThat(response.statusCode(), is(200));
        assertThat(response.body(), endsWith("data: [DONE]\n\n"));
        int position = 0;
        for (int i = 0; i < TOKENS; i++) {
            String word = "\"w" + i + " \"";
            assertThat(response.body().substring(position), containsString(word));
            position = response.body().indexOf(word, position) + 1;
        }
    }

    @Test
    void returnsAWholeAnswer() throws Exception {
        HttpResponse<String> response =
                post("/v1/completions", "{\"prompt\":\"p\",\"max_tokens\":3}");

        assertThat(response.statusCode(), is(200));
        assertThat(response.body(), containsString("w0 w1 w2 "));
    }

    @Test
    void refusesMalformedJsonAsNotRun() throws Exception {
        HttpResponse<String> response = post("/v1/completions", "{\"prompt\":");

        assertThat(response.statusCode(), is(400));
        assertThat(response.body(), containsString("\"code\":\"malformed-body\""));
        assertThat(response.headers().firstValue("X-Not-Run").orElse(""), equalTo("true"));
    }

    @Test
    void refusesAnUnknownRoute() throws Exception {
        HttpResponse<String> response = post("/nowhere", "{}");

        assertThat(response.statusCode(), is(404));
        assertThat(response.body(), containsString("\"code\":\"unknown-route\""));
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        int port = mNode.service(HttpFrontEnd.class).port();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
