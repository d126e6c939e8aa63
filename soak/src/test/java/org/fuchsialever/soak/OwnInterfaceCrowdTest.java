package org.fuchsialever.soak;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.platform.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * Clients outside the operator's control send to an instance that serves the project's own
 * interface, with the crowds and the bounds of {@link UncontrolledClientsTest}.
 */
class OwnInterfaceCrowdTest {
    /** Bounds a wait that does not end because of a fault; no test depends on its length. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    private static final String CALLS = "/desk";
    private static final String METRICS = "/metrics";
    private static final int RESPONSE_BYTES = 20_000;

    /** The part of each crowd that comes when all of them come at once. */
    private static final int CROWDS_AT_ONCE = 3;

    private final Closer mCloser = new Closer();
    private final int mPort = FreePorts.next();
    @TempDir Path mDirectory;

    OwnInterfaceCrowdTest() throws IOException {}

    @AfterEach
    void release() {
        mCloser.close();
    }

    /** Guards against heads, requests and connections that nobody counts at our own interface. */
    @ParameterizedTest
    @EnumSource(CrowdKind.class)
    void survivesACrowd(CrowdKind kind) throws IOException {
        InstanceUnderTest instance = serving();
        Crowd crowd = mCloser.register("crowd", new Crowd());
        kind.send(crowd, instance, mPort, CALLS, 1);
        assertSound(instance);
    }

    @Test
    void survivesAllCrowdsAtOnceForCallsAndMetrics() throws IOException {
        InstanceUnderTest instance = serving();
        Crowd crowd = mCloser.register("crowd", new Crowd());
        for (CrowdKind kind : CrowdKind.values()) {
            kind.send(crowd, instance, mPort, CALLS, CROWDS_AT_ONCE);
            kind.send(crowd, instance, mPort, METRICS, CROWDS_AT_ONCE);
        }
        assertSound(instance);
    }

    /** Guards against a bound that an ordinary request meets. */
    @Test
    void servesAHeadOfManyShortLines() throws IOException {
        serving();
        try (RawCaller caller = new RawCaller(mPort)) {
            caller.text(CrowdKind.head(CALLS, "lines", CrowdKind.SHORT_LINE));
            assertThat(caller.status(), is(200));
        }
    }

    private void assertSound(InstanceUnderTest instance) throws IOException {
        awaitAnswer(instance, CALLS);
        awaitAnswer(instance, METRICS);
        CrowdBounds.assertKept(instance);
    }

    private void awaitAnswer(InstanceUnderTest instance, String path) {
        await().atMost(PATIENCE)
                .pollInterval(Duration.ofMillis(50))
                .ignoreExceptions()
                .until(() -> !instance.isAlive() || isServed(path));
        assertThat("the process lives", instance.isAlive(), is(true));
    }

    private boolean isServed(String path) throws IOException {
        try (RawCaller caller = new RawCaller(mPort)) {
            return caller.head("GET", path, "probe", 0).status() == 200;
        }
    }

    private InstanceUnderTest serving() throws IOException {
        byte[] body = new byte[RESPONSE_BYTES];
        DisposableServer upstream =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(0)
                        .handle((request, response) -> response.sendByteArray(Mono.just(body)))
                        .bindNow();
        mCloser.register("upstream", () -> upstream.disposeNow(Duration.ofSeconds(1)));
        Path routes = file("routes.ini", ROUTES);
        Path pools = file("pools.ini", POOLS.formatted(upstream.port()));
        Path settings = file("node.ini", SETTINGS.formatted(mPort, routes, pools));
        List<String> options = new ArrayList<>(DeployedInstance.memoryOptions());
        options.addAll(CrowdBounds.options());
        InstanceUnderTest instance =
                mCloser.register(
                        "instance",
                        new InstanceUnderTest(
                                mDirectory.resolve("node.log"),
                                settings,
                                CrowdBounds.launcher(),
                                options));
        awaitAnswer(instance, CALLS);
        return instance;
    }

    private Path file(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text);
    }

    private static final String ROUTES =
            """
            [route desk]
            path = /desk
            kind = plain
            pool = desk
            access = open
            repeatable = yes
            """;

    private static final String POOLS =
            """
            [pool desk]
            kind = plain
            [upstream desk-1]
            pool = desk
            address = 127.0.0.1
            port = %d
            failure-domain = fd-1
            """;

    private static final String SETTINGS =
            """
            [node]
            name = node-1
            region = region-1
            failure-domain = fd-1
            http-address = 127.0.0.1
            http-port = %d
            components = identity, table-files, open-routes, dispatch, readiness, \
            endpoints, front-end
            [tables]
            routes = %s
            pools = %s
            """;
}
