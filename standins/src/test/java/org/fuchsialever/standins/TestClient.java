package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/** Calls stand-ins over HTTP. */
final class TestClient {
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    Response call(StandInServer server, String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(server.url() + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        HttpResponse<String> response =
                mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
        return new Response(response.statusCode(), response.body());
    }

    BufferedReader open(StandInServer server, String path, String body, String requestId)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(server.url() + path))
                        .header("X-Request-Id", requestId)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return new BufferedReader(
                new InputStreamReader(
                        mClient.send(request, HttpResponse.BodyHandlers.ofInputStream()).body(),
                        StandardCharsets.UTF_8));
    }

    Response post(StandInServer server, String path, String body) throws Exception {
        return call(server, "POST", path, body.replace('\'', '"'));
    }

    Response get(StandInServer server, String path) throws Exception {
        return call(server, "GET", path, "");
    }

    record Response(int status, String body) {

        JsonNode json() {
            return Json.parse(body.getBytes(StandardCharsets.UTF_8));
        }
    }
}
