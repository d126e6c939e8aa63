package org.fuchsialever.soak;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.platform.FreePorts;
import org.fuchsialever.platform.InstanceSettings;
import org.fuchsialever.platform.ManifestText;
import org.fuchsialever.platform.StoreStandIn;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** One instance as a process with the memory of the deploy file, a store and an upstream. */
final class DeployedInstance implements AutoCloseable {
    /** Path of calls whose response is large. */
    static final String LARGE_RESPONSES = "/safe/large";

    /** Path of calls whose response is a stream of large events. */
    static final String LARGE_EVENTS = "/stream/large";

    /** Path of calls whose response is a few segments long. */
    static final String MEDIUM_RESPONSES = "/safe/medium";

    /** Path of calls that get no response. */
    static final String HELD = "/safe/held";

    static final String KEY = "key-1";

    /** The limit of the users' manifests. */
    static final int MAX_BODY_BYTES = 33_554_432;

    /** Time limit of all routes; bodies arrive in half of it. */
    static final int TIMEOUT_MILLIS = 8_000;

    private static final Path DEPLOY_FILE = Path.of("..", "deploy", "system.toml");
    private static final int LARGE_RESPONSE_BYTES = 3 * 1_024 * 1_024;
    private static final int MEDIUM_RESPONSE_BYTES = 20_000;
    private static final int SMALL_RESPONSE_BYTES = 10;

    /** Above the limit of the manifest, because proxies add fields. */
    private static final int UPSTREAM_MAX_HEADER_BYTES = 64 * 1_024;

    private static final int LARGE_EVENT_BYTES = 100_000;
    private static final int LARGE_EVENTS_COUNT = 200;
    private static final String UPSTREAM_ROW =
            "{\"service\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1}],\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"slots\":64,"
                + "\"state\":\"ready\",\"seq\":1,\"born\":1}";

    private final Closer mCloser = new Closer();
    private final Map<String, Integer> mBodyBytes = new ConcurrentHashMap<>();
    private final int mPort;
    private final int mReadinessPort;
    private final int mMetricsPort;
    private final InstanceUnderTest mInstance;

    DeployedInstance(Path directory) throws IOException {
        this(directory, List.of(), List.of());
    }

    /**
     * Starts an instance that finds more in the store than its manifest and its upstreams.
     *
     * @param contents writes what the store holds besides
     */
    DeployedInstance(Path directory, Consumer<StoreStandIn> contents) throws IOException {
        this(directory, List.of(), List.of(), contents);
    }

    /**
     * Starts an instance with less than the deploy file allows.
     *
     * @param launcher a command that gets the command of the instance as its arguments
     * @param options options of the virtual machine, which replace those of the deploy file
     */
    DeployedInstance(Path directory, List<String> launcher, List<String> options)
            throws IOException {
        this(directory, launcher, options, store -> {});
    }

    private DeployedInstance(
            Path directory,
            List<String> launcher,
            List<String> options,
            Consumer<StoreStandIn> contents)
            throws IOException {
        mPort = FreePorts.next();
        mReadinessPort = FreePorts.next();
        mMetricsPort = FreePorts.next();
        StoreStandIn store = mCloser.register("store", new StoreStandIn());
        store.write(
                "op",
                "config",
                ManifestText.of(2, KEY)
                        .replace("\"maxBodyBytes\":100000", "\"maxBodyBytes\":" + MAX_BODY_BYTES)
                        .replace("\"timeoutMs\":3000", "\"timeoutMs\":" + TIMEOUT_MILLIS));
        contents.accept(store);
        DisposableServer upstream =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(0)
                        .httpRequestDecoder(spec -> spec.maxHeaderSize(UPSTREAM_MAX_HEADER_BYTES))
                        .handle(this::respond)
                        .bindNow();
        mCloser.register("upstream", () -> upstream.disposeNow(Duration.ofSeconds(1)));
        store.write("servers", "p1", String.format(UPSTREAM_ROW, "plain", upstream.port()));
        store.write("servers", "e1", String.format(UPSTREAM_ROW, "engines", upstream.port()));
        Path settings = directory.resolve("n1.ini");
        Files.writeString(
                settings,
                InstanceSettings.of("n1", store.address(), mPort)
                        .replace(
                                "readiness-listen = 127.0.0.1:0",
                                "readiness-listen = 127.0.0.1:"
                                        + mReadinessPort
                                        + "\nmetrics-port = "
                                        + mMetricsPort));
        List<String> allOptions = new ArrayList<>(memoryOptions());
        allOptions.addAll(options);
        mInstance =
                mCloser.register(
                        "n1",
                        new InstanceUnderTest(
                                directory.resolve("n1.log"), settings, launcher, allOptions));
    }

    /** Returns the options of the deploy file that bound memory. */
    static List<String> memoryOptions() throws IOException {
        String run =
                Files.readAllLines(DEPLOY_FILE).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return Arrays.stream(run.split("[ \"]"))
                .filter(word -> word.startsWith("-X") || word.startsWith("-Dio.netty"))
                .filter(word -> !word.contains("hare"))
                .toList();
    }

    int port() {
        return mPort;
    }

    int readinessPort() {
        return mReadinessPort;
    }

    int metricsPort() {
        return mMetricsPort;
    }

    InstanceUnderTest instance() {
        return mInstance;
    }

    String log() throws IOException {
        return mInstance.log();
    }

    /** Returns the length of the body with which a request ran, or -1 if it has not run. */
    int bodyBytes(String requestId) {
        return mBodyBytes.getOrDefault(requestId, -1);
    }

    private Mono<Void> respond(HttpServerRequest request, HttpServerResponse response) {
        String id = request.requestHeaders().get("Request-Id", "");
        if (request.uri().startsWith(LARGE_EVENTS)) {
            byte[] event = ("data: " + "x".repeat(LARGE_EVENT_BYTES) + "\n\n").getBytes(US_ASCII);
            return response.header("Request-Id", id)
                    .header("Response-Stamp", "stamp-" + id)
                    .header("Content-Type", "text/event-stream")
                    .header("Weight-Versions", "1")
                    .sendByteArray(Flux.range(0, LARGE_EVENTS_COUNT).map(number -> event))
                    .then();
        }
        if (request.uri().startsWith(HELD)) {
            mBodyBytes.put(id, 0);
            return Mono.never();
        }
        byte[] body = new byte[responseBytes(request.uri())];
        return request.receive()
                .reduce(0, (length, part) -> length + part.readableBytes())
                .doOnNext(length -> mBodyBytes.put(id, length))
                .then(
                        response.header("Request-Id", id)
                                .header("Response-Stamp", "stamp-" + id)
                                .header("Content-Length", Integer.toString(body.length))
                                .sendByteArray(Mono.just(body))
                                .then());
    }

    private static int responseBytes(String uri) {
        if (uri.startsWith(LARGE_RESPONSES)) {
            return LARGE_RESPONSE_BYTES;
        }
        return uri.startsWith(MEDIUM_RESPONSES) ? MEDIUM_RESPONSE_BYTES : SMALL_RESPONSE_BYTES;
    }

    @Override
    public void close() {
        mCloser.close();
    }
}
