package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Base class of the stand-ins: an HTTP server on a loopback port that counts calls by operation and
 * injects faults. Control requests below {@code /stand-in/} are neither counted nor subject to
 * faults.
 */
public abstract class StandInServer implements AutoCloseable {
    /** The address of all stand-ins. */
    public static final String HOST = "127.0.0.1";

    private static final String CONTROL_PREFIX = "/stand-in/";

    private final List<Route> mRoutes = new ArrayList<>();
    private final Map<String, AtomicLong> mCalls = new ConcurrentHashMap<>();
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final FaultControl mFaults = new FaultControl(this);
    private final AtomicLong mRequestsWithCredentials = new AtomicLong();
    private volatile @Nullable DisposableServer mServer;
    private volatile int mPort;
    private volatile boolean mClosed;

    /** Creates a server that does not listen yet. */
    protected StandInServer() {
        on("faults", "POST", "/stand-in/faults", request -> Mono.just(checkFaultRequest(request)));
        on(
                "calls",
                "GET",
                "/stand-in/calls",
                request -> Mono.just(StandInResponse.json(200, countsDocument())));
    }

    /** Returns the TCP port, which stays the same while the stand-in is down. */
    public final int port() {
        return mPort;
    }

    /** Returns the address for clients, such as {@code http://127.0.0.1:4711}. */
    public final String url() {
        return "http://" + HOST + ":" + mPort;
    }

    /** Returns the fault control. */
    public final FaultControl faults() {
        return mFaults;
    }

    /** Returns how often an operation was called, including calls affected by a fault. */
    public final long calls(String operation) {
        AtomicLong count = mCalls.get(operation);
        return count == null ? 0 : count.get();
    }

    /** Returns the calls by operation. */
    public final Map<String, Long> callCounts() {
        Map<String, Long> counts = new TreeMap<>();
        mCalls.forEach((operation, count) -> counts.put(operation, count.get()));
        return counts;
    }

    /**
     * Returns the number of requests with an {@code Authorization} field, or with the text of a
     * caller's key in the URI, another header field or the body.
     */
    public final long requestsWithCredentials() {
        return mRequestsWithCredentials.get();
    }

    @Override
    public void close() {
        mClosed = true;
        stopListening().block();
    }

    /** Adds an operation; the groups of the path pattern become arguments of the request. */
    final void on(
            String operation,
            String method,
            String pathPattern,
            Function<StandInRequest, Mono<StandInResponse>> handler) {
        mRoutes.add(new Route(operation, method, Pattern.compile(pathPattern), handler));
    }

    /** Binds a free port; called at the end of each stand-in's constructor. */
    final void open() {
        listen().block();
    }

    /** Called for each new connection, before it is used. */
    void onConnection(Channel channel) {}

    /** Called when a request has been received completely. */
    void onRequestComplete(Channel channel) {}

    final Mono<Void> listen() {
        return Mono.defer(
                () -> {
                    // A fault that ends after close() must not reopen the stand-in.
                    if (mServer != null || mClosed) {
                        return Mono.empty();
                    }
                    return HttpServer.create()
                            .host(HOST)
                            .port(mPort)
                            .doOnChannelInit((observer, channel, address) -> prepare(channel))
                            .handle(this::serve)
                            .bind()
                            .doOnNext(
                                    bound -> {
                                        mServer = bound;
                                        mPort = bound.port();
                                    })
                            .then();
                });
    }

    final Mono<Void> stopListening() {
        return Mono.defer(
                () -> {
                    DisposableServer bound = mServer;
                    mServer = null;
                    if (bound != null) {
                        bound.dispose();
                    }
                    closeConnections();
                    return bound == null ? Mono.empty() : bound.onDispose();
                });
    }

    final void closeConnections() {
        mChannels.close();
    }

    final void silence(int count) {
        int remaining = count;
        for (Channel channel : mChannels) {
            if (remaining-- <= 0) {
                return;
            }
            ((SilenceHandler) channel.pipeline().get(SilenceHandler.NAME)).silence();
        }
    }

    private void prepare(Channel channel) {
        mChannels.add(channel);
        channel.pipeline().addFirst(SilenceHandler.NAME, new SilenceHandler());
        onConnection(channel);
    }

    private Mono<Void> serve(HttpServerRequest request, HttpServerResponse httpResponse) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(body -> serve(request, httpResponse, body));
    }

    private Mono<Void> serve(
            HttpServerRequest request, HttpServerResponse httpResponse, byte[] body) {
        Channel channel = channelOf(httpResponse);
        onRequestComplete(channel);
        String path = request.uri().split("\\?", 2)[0];
        for (Route route : mRoutes) {
            Matcher matcher = route.path.matcher(path);
            if (route.method.equals(request.method().name()) && matcher.matches()) {
                return serve(route, readRequest(request, body, matcher, channel), httpResponse);
            }
        }
        return send(httpResponse, StandInResponse.error(404, "unknown_path"));
    }

    private Mono<Void> serve(Route route, StandInRequest request, HttpServerResponse httpResponse) {
        if (!request.uri().startsWith(CONTROL_PREFIX)) {
            if (request.hasCredentials()) {
                mRequestsWithCredentials.incrementAndGet();
            }
            mCalls.computeIfAbsent(route.operation, name -> new AtomicLong()).incrementAndGet();
            return mFaults.serve(new Exchange(route, request, httpResponse));
        }
        if (!route.operation.equals("faults")) {
            return route.handler.apply(request).flatMap(response -> send(httpResponse, response));
        }
        // The HTTP response is sent first, because the fault may affect this connection as well.
        return route.handler
                .apply(request)
                .flatMap(
                        response ->
                                response.status() != 200
                                        ? send(httpResponse, response)
                                        : send(httpResponse, response)
                                                .then(activate(request.json())));
    }

    private StandInResponse checkFaultRequest(StandInRequest request) {
        JsonNode body = request.json();
        try {
            FaultMode mode = FaultMode.of(body.path("mode").asText());
            if (mode == FaultMode.DOWN && body.path("millis").asLong() <= 0) {
                // The fault cannot be ended over HTTP while the port is closed.
                return StandInResponse.error(400, "down_needs_millis");
            }
            return StandInResponse.json(200, Json.object().put("mode", body.path("mode").asText()));
        } catch (IllegalArgumentException e) {
            return StandInResponse.error(400, "unknown_mode");
        }
    }

    private Mono<Void> activate(JsonNode body) {
        return mFaults.activate(
                FaultMode.of(body.path("mode").asText()),
                Duration.ofMillis(body.path("millis").asLong()),
                body.path("count").asInt());
    }

    private ObjectNode countsDocument() {
        ObjectNode body = Json.object();
        callCounts().forEach(body::put);
        return body;
    }

    private static StandInRequest readRequest(
            HttpServerRequest request, byte[] body, Matcher matcher, Channel channel) {
        List<String> arguments = new ArrayList<>();
        for (int group = 1; group <= matcher.groupCount(); group++) {
            arguments.add(decode(matcher.group(group)));
        }
        int remotePort =
                channel.remoteAddress() instanceof InetSocketAddress remote ? remote.getPort() : 0;
        return new StandInRequest(
                request.method().name(),
                request.uri(),
                arguments,
                request.requestHeaders(),
                body,
                remotePort);
    }

    private static String decode(String text) {
        // URLDecoder would turn a plus sign into a space, but in a path it is literal.
        return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    private static Channel channelOf(HttpServerResponse httpResponse) {
        Channel[] channel = new Channel[1];
        httpResponse.withConnection((Connection connection) -> channel[0] = connection.channel());
        return channel[0];
    }

    private static Mono<Void> send(HttpServerResponse httpResponse, StandInResponse response) {
        httpResponse.status(response.status());
        response.headers().forEach(httpResponse::header);
        return httpResponse.send(response.body().map(Unpooled::wrappedBuffer), part -> true).then();
    }

    private record Route(
            String operation,
            String method,
            Pattern path,
            Function<StandInRequest, Mono<StandInResponse>> handler) {}

    private record Exchange(Route route, StandInRequest request, HttpServerResponse httpResponse)
            implements StandInExchange {

        @Override
        public Mono<StandInResponse> run() {
            return Mono.defer(() -> route.handler().apply(request));
        }

        @Override
        public Mono<Void> respond(StandInResponse response) {
            return send(httpResponse, response);
        }

        @Override
        public Mono<Void> closeConnection() {
            return Mono.defer(
                    () -> {
                        channelOf(httpResponse).close();
                        return Mono.never();
                    });
        }
    }
}
