package org.fuchsialever.node.hosted;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.lifecycle.StopRequest;
import org.fuchsialever.node.NodeProcess;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.platform.CallerStandIn;
import org.fuchsialever.platform.FreePorts;
import org.fuchsialever.platform.InstanceSettings;
import org.fuchsialever.platform.ManifestText;
import org.fuchsialever.platform.StoreStandIn;
import org.fuchsialever.platform.SubmissionText;
import org.fuchsialever.platform.UpstreamStandIn;

/** Instances, a store and upstreams on the loopback address. */
final class HostedFixture implements AutoCloseable {
    /** Bounds waits that a fault would make endless; no test depends on its length. */
    static final Duration TIMEOUT = Duration.ofSeconds(30);

    static final String KEY = "key-1";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    final StoreStandIn mStore;
    private final Closer mCloser = new Closer();
    private final CallerStandIn mCaller;
    private final Map<String, UpstreamStandIn> mUpstreams = new HashMap<>();
    private final Map<String, Integer> mPorts = new HashMap<>();
    private final Map<String, NodeProcess> mNodes = new HashMap<>();

    HostedFixture() {
        mStore = mCloser.register("store", new StoreStandIn());
        mCaller = mCloser.register("caller", CallerStandIn.withNewConnections(TIMEOUT));
    }

    /** Returns a fixture with a manifest, one plain upstream, one engine and one instance. */
    static HostedFixture running() {
        HostedFixture fixture = new HostedFixture();
        fixture.mStore.write("op", "config", ManifestText.of(2, KEY));
        fixture.upstream("p1", "plain");
        fixture.upstream("e1", "engines");
        fixture.start("n1");
        fixture.awaitServing("n1");
        fixture.awaitReady("n1");
        return fixture;
    }

    UpstreamStandIn upstream(String id, String service) {
        Map<String, Long> versions = service.startsWith("engines") ? Map.of("m", 1L) : Map.of();
        UpstreamStandIn upstream = mCloser.register(id, new UpstreamStandIn(id, service, versions));
        upstream.register(mStore, "ready");
        mUpstreams.put(id, upstream);
        return upstream;
    }

    UpstreamStandIn upstream(String id) {
        UpstreamStandIn found = mUpstreams.get(id);
        if (found == null) {
            throw new IllegalArgumentException(id);
        }
        return found;
    }

    void start(String name) {
        start(name, "", new StopRequest());
    }

    /** Starts an instance with more lines in the section of its entry. */
    void start(String name, String entrySettings, StopRequest stop) {
        int port = freePort();
        mPorts.put(name, port);
        String settings =
                InstanceSettings.of(name, mStore.address(), port)
                        .replace("[entry]", "[entry]\n" + entrySettings);
        mNodes.put(
                name,
                mCloser.register(name, NodeProcess.start(name + ".ini", settings, stop).get()));
    }

    /** Returns the TCP port of an instance. */
    int port(String name) {
        return Objects.requireNonNull(mPorts.get(name));
    }

    /** Begins to stop an instance; completes when it has stopped. */
    CompletableFuture<Void> stopLater(String name) {
        return CompletableFuture.runAsync(() -> stop(name));
    }

    void stop(String name) {
        NodeProcess node = mNodes.get(name);
        if (node != null) {
            node.close();
        }
    }

    /** Waits until an instance has a manifest and knows the upstreams. */
    void awaitServing(String name) {
        eventually(() -> call(name, "GET", "/safe/probe", "probe", KEY, "").status() == 200);
    }

    /** Waits until an instance has a version of the manifest in force. */
    void awaitManifest(String name, long version) {
        NodeProcess node = Objects.requireNonNull(mNodes.get(name));
        Directory directory = node.service(Directory.class);
        eventually(() -> directory.manifest().exists(known -> known.version() >= version));
    }

    /** Waits until the instance has read all tables; it refuses submissions before. */
    void awaitReady(String name) {
        eventually(() -> call(name, "GET", "/api/readyz", "ready", "", "").status() == 200);
    }

    /** Returns the IDs of the upstreams that an instance has in its list. */
    List<String> upstreams(String name) {
        Directory directory = Objects.requireNonNull(mNodes.get(name)).service(Directory.class);
        return directory.upstreams().stream().map(FleetUpstream::id).toList();
    }

    void eventually(Callable<Boolean> condition) {
        await().atMost(TIMEOUT).pollInterval(Duration.ofMillis(20)).until(condition);
    }

    CallerStandIn.Response call(
            String node, String method, String path, String requestId, String key, String body) {
        return mCaller.call("127.0.0.1:" + mPorts.get(node), method, path, requestId, key, body)
                .blockOptional(TIMEOUT)
                .orElseThrow();
    }

    /** Sends a call whose response is a stream of events. */
    RawCall stream(String node, String path, String requestId) {
        return RawCall.stream(Objects.requireNonNull(mPorts.get(node)), path, requestId, KEY);
    }

    /** Submits items with the given IDs. */
    CallerStandIn.Response submit(String node, String batch, String... items) {
        return call(node, "POST", "/rollout/" + batch, batch, KEY, submission(items));
    }

    static String submission(String... items) {
        return SubmissionText.of(List.of(items));
    }

    /** Waits until all results are listed and returns them. */
    JsonNode results(String node, String batch, int total) {
        JsonNode[] page = new JsonNode[1];
        eventually(
                () -> {
                    CallerStandIn.Response response =
                            call(node, "GET", "/api/lots/" + batch + "?after=0", "read", KEY, "");
                    if (response.status() != 200) {
                        return false;
                    }
                    page[0] = MAPPER.readTree(response.body());
                    return page[0].path("results").size() == total;
                });
        return page[0];
    }

    private static int freePort() {
        try {
            return FreePorts.next();
        } catch (IOException e) {
            throw new IllegalStateException("no free port", e);
        }
    }

    @Override
    public void close() {
        mCloser.close();
    }
}
