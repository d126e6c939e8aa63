package org.fuchsialever.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.platform.ManifestText;
import org.fuchsialever.platform.StoreStandIn;
import org.fuchsialever.platform.UpstreamStandIn;

/** Instances as processes, with stand-ins for the store and the upstreams in this process. */
final class SoakWorld implements AutoCloseable {
    static final String KEY = "key-1";
    static final String TEAM = "team";
    static final String MODEL = "m";
    static final int MAX_BODY_BYTES = 2_000_000;

    private static final int INSTANCES = 3;

    /** Both connections of a link have the same thread. */
    private static final int LINK_THREADS = 2;

    private static final Map<String, String> SERVICES =
            Map.of("p1", "plain", "p2", "plain", "e1", "engines", "e2", "engines");

    private final Path mDirectory;
    private final Closer mCloser = new Closer();
    private final StoreStandIn mStore;
    private final SoakRecord mRecord = new SoakRecord();
    private final List<InstanceProgram> mInstances = new ArrayList<>();
    private final Map<String, UpstreamStandIn> mUpstreams = new TreeMap<>();
    private final Map<String, LoopbackProxy> mUpstreamLinks = new LinkedHashMap<>();
    private final AtomicLong mManifestVersion = new AtomicLong(1);
    private final AtomicLong mWeightVersion = new AtomicLong(1);

    /** Starts a few instances before two upstreams of each service. */
    SoakWorld(Path directory) throws IOException {
        this(directory, INSTANCES, SERVICES);
    }

    /**
     * Starts instances before upstreams.
     *
     * @param services the service of each upstream, by the upstream's ID
     */
    SoakWorld(Path directory, int instances, Map<String, String> services) throws IOException {
        Files.createDirectories(directory);
        mDirectory = directory;
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(LINK_THREADS, NioIoHandler.newFactory());
        mCloser.register("links", () -> group.shutdownGracefully().syncUninterruptibly());
        mStore = mCloser.register("store", new StoreStandIn());
        changeManifest();
        for (Map.Entry<String, String> entry : new TreeMap<>(services).entrySet()) {
            String id = entry.getKey();
            Map<String, Long> versions =
                    entry.getValue().equals("engines") ? Map.of(MODEL, 1L) : Map.of();
            UpstreamStandIn upstream =
                    mCloser.register(id, new UpstreamStandIn(id, entry.getValue(), versions));
            upstream.numberRuns();
            int port = Integer.parseInt(upstream.address().split(":", -1)[1]);
            mUpstreams.put(id, upstream);
            mUpstreamLinks.put(id, mCloser.register(id + "-link", new LoopbackProxy(group, port)));
            register(id, "ready");
        }
        int storePort = Integer.parseInt(mStore.address().split(":", -1)[1]);
        for (int i = 1; i <= instances; i++) {
            String name = "n" + i;
            mInstances.add(
                    mCloser.register(name, new InstanceProgram(name, storePort, directory, group)));
        }
    }

    SoakRecord record() {
        return mRecord;
    }

    StoreStandIn store() {
        return mStore;
    }

    List<InstanceProgram> instances() {
        return mInstances;
    }

    Map<String, UpstreamStandIn> upstreams() {
        return mUpstreams;
    }

    UpstreamStandIn upstream(String id) {
        return Objects.requireNonNull(mUpstreams.get(id), id);
    }

    Map<String, LoopbackProxy> upstreamLinks() {
        return mUpstreamLinks;
    }

    /** Writes the entry of an upstream. */
    void register(String id, String state) {
        UpstreamStandIn upstream = mUpstreams.get(id);
        LoopbackProxy link = mUpstreamLinks.get(id);
        if (upstream != null && link != null) {
            upstream.register(mStore, state, link.address());
        }
    }

    /** Removes the entry of an upstream. */
    void unregister(String id) {
        UpstreamStandIn upstream = mUpstreams.get(id);
        if (upstream != null) {
            upstream.unregister(mStore);
        }
    }

    /** Writes a newer manifest. */
    void changeManifest() {
        mStore.write(
                "op",
                "config",
                ManifestText.of(mManifestVersion.incrementAndGet(), KEY, MAX_BODY_BYTES));
    }

    /** Names a newer weight version, as a trainer does. */
    void nameWeightVersion() {
        long version = mWeightVersion.incrementAndGet();
        mStore.write(
                "op",
                "version/" + MODEL,
                "{\"model\":\"" + MODEL + "\",\"version\":" + version + "}");
    }

    long weightVersion() {
        return mWeightVersion.get();
    }

    /** Ends all disturbances and starts all processes that are down. */
    void heal() throws IOException {
        mStore.setMode(StoreStandIn.Mode.UP);
        mUpstreamLinks.values().forEach(link -> link.behave(LinkState.SOUND));
        for (Map.Entry<String, UpstreamStandIn> upstream : mUpstreams.entrySet()) {
            upstream.getValue().setBehaviour(UpstreamStandIn.Behaviour.HEALTHY);
            register(upstream.getKey(), "ready");
        }
        for (InstanceProgram instance : mInstances) {
            instance.entryLink().behave(LinkState.SOUND);
            instance.storeLink().behave(LinkState.SOUND);
            instance.resume();
            instance.startAgain();
        }
    }

    /** Writes what stuttering upstreams sent, beside the logs of the instances. */
    private void writeCopies() {
        List<String> copies = new ArrayList<>();
        mUpstreams.values().forEach(upstream -> copies.addAll(upstream.copies()));
        try {
            Files.write(mDirectory.resolve("copies.log"), copies);
        } catch (IOException e) {
            throw new UncheckedIOException("the copies cannot be written", e);
        }
    }

    @Override
    public void close() {
        writeCopies();
        mCloser.close();
    }
}
