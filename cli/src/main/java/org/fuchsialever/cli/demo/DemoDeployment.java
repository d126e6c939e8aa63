package org.fuchsialever.cli.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.fuchsialever.cli.standins.StandInFiles;
import org.fuchsialever.kernel.invariant.CountingInvariantMonitor;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.node.NodeProcess;
import org.fuchsialever.node.http.Readiness;
import org.fuchsialever.standins.EngineOptions;
import org.fuchsialever.standins.StandInEnvironment;
import org.fuchsialever.standins.StandInServer;

/** Stand-ins and three instances in one process, with tables applied. */
final class DemoDeployment implements AutoCloseable {
    static final int ENGINES = 6;
    static final int DESKS = 4;
    static final int MEDIAN_TOKENS = 16;

    /** Commands wait for a busy machine, on which the whole deployment runs beside them. */
    private static final String OPERATOR_TIMEOUTS =
            "connect-timeout = 20 s\nrequest-timeout = 20 s\n";

    private static final int DOMAINS = 3;
    private static final int INSTANCES = 3;
    private static final int SLOTS = 16;
    private static final int STRAGGLER_EVERY = 16;
    private static final int STRAGGLER_FACTOR = 20;
    private static final Duration TOKEN_INTERVAL = Duration.ofMillis(4);
    private static final Duration READY_BOUND = Duration.ofSeconds(10);
    private static final long POLL_MILLIS = 100;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Closer mCloser = new Closer();
    private final CountDownLatch mStop;
    private final Path mFolder;
    private final StandInEnvironment mWorld;
    private final StandInFiles mFiles;
    private final OperatorConsole mConsole;
    private final List<NodeProcess> mNodes = new ArrayList<>();
    private final List<String> mUrls = new ArrayList<>();

    DemoDeployment(CountDownLatch stop) throws IOException {
        mStop = stop;
        mFolder = Files.createTempDirectory("fuchsialever-demo");
        mCloser.register("files", this::deleteFiles);
        mWorld = mCloser.register("stand-ins", startStandIns());
        mFiles = new StandInFiles(mWorld, ENGINES, DESKS, DOMAINS, SLOTS);
        mConsole = new OperatorConsole(mFolder.resolve("platform.ini"), stop);
    }

    /** Starts the instances, applies both tables and waits until all instances are ready. */
    void start() throws IOException, InterruptedException {
        Files.writeString(
                mFolder.resolve("platform.ini"), mWorld.platformSection() + OPERATOR_TIMEOUTS);
        Files.writeString(mFolder.resolve("routes.ini"), mFiles.keyedRoutes());
        Files.writeString(mFolder.resolve("pools.ini"), mFiles.pools());
        for (int i = 1; i <= INSTANCES; i++) {
            int http = FreePorts.next();
            int peer = FreePorts.next();
            mWorld.instanceList().put(mFiles.instanceListEntry(i, http, peer));
            mNodes.add(mCloser.register("node-" + i, startNode(i, http, peer)));
            mUrls.add("http://" + StandInServer.HOST + ":" + http);
        }
        apply(0);
        awaitReady();
    }

    /** Marks an engine as leaving in the pools table, and tells it once all instances know. */
    void leave(String engine) throws IOException {
        Path pools = mFolder.resolve("pools.ini");
        String section = "[upstream " + engine + "]\n";
        String table = Files.readString(pools);
        Files.writeString(pools, table.replace(section, section + "state = leaving\n"));
        apply(1);
        mWorld.engine(engine).leave();
    }

    /** Grants a key with the command of the operators. */
    DemoKey grant(String team) throws JsonProcessingException {
        JsonNode granted = MAPPER.readTree(mConsole.run("key", "grant", "--team", team, "--json"));
        return new DemoKey(team, granted.path("id").asText(), granted.path("key").asText());
    }

    /** Withdraws a key with the command of the operators. */
    void withdraw(DemoKey key) {
        mConsole.run("key", "withdraw", key.id());
    }

    /** Returns the addresses of the instances. */
    List<String> urls() {
        return mUrls;
    }

    StandInEnvironment world() {
        return mWorld;
    }

    /** Returns the violations that the instances have counted. */
    long invariantViolations() {
        return mNodes.stream()
                .mapToLong(node -> node.service(CountingInvariantMonitor.class).violationCount())
                .sum();
    }

    /** Returns the number of requests at upstreams that carried a key. */
    long keysSeenByUpstreams() {
        return Stream.concat(
                        IntStream.rangeClosed(1, ENGINES).mapToObj(i -> "engine-" + i),
                        IntStream.rangeClosed(1, DESKS).mapToObj(i -> "desk-" + i))
                .mapToLong(name -> mWorld.find(name, StandInServer.class).requestsWithCredentials())
                .sum();
    }

    /** Returns how often plain services ran requests for a path. */
    int runsOfPath(String path) {
        return IntStream.rangeClosed(1, DESKS)
                .map(i -> mWorld.plainService("desk-" + i).executionCountForPath(path))
                .sum();
    }

    /** Returns the natural number of tokens of the answer to a prompt. */
    static int answerLength(String prompt) {
        return EngineOptions.stragglers(MEDIAN_TOKENS, STRAGGLER_EVERY, STRAGGLER_FACTOR)
                .applyAsInt(prompt);
    }

    @Override
    public void close() {
        mCloser.close();
    }

    private void apply(long baseVersion) {
        mConsole.run(
                "apply",
                "--routes",
                mFolder.resolve("routes.ini").toString(),
                "--pools",
                mFolder.resolve("pools.ini").toString(),
                "--base-version",
                Long.toString(baseVersion));
    }

    private static StandInEnvironment startStandIns() {
        StandInEnvironment.Builder builder = StandInEnvironment.platform();
        for (int i = 1; i <= ENGINES; i++) {
            builder.engine(
                    "engine-" + i,
                    new EngineOptions()
                            .startId("engine-" + i + "-start-1")
                            .slots(SLOTS)
                            .tokenInterval(TOKEN_INTERVAL)
                            .responseLength(DemoDeployment::answerLength));
        }
        for (int i = 1; i <= DESKS; i++) {
            builder.plainService("desk-" + i, TOKEN_INTERVAL);
        }
        StandInEnvironment started = builder.start();
        started.weightStore().publish(StandInFiles.MODEL, 0);
        return started;
    }

    private NodeProcess startNode(int number, int httpPort, int peerPort) {
        return NodeProcess.start(
                        "node-" + number + ".ini",
                        mFiles.platformNodeSettings(number, httpPort, peerPort))
                .getOrElseThrow(findings -> new IllegalStateException(findings.report()));
    }

    private void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + READY_BOUND.toNanos();
        for (NodeProcess node : mNodes) {
            Readiness readiness = node.service(Readiness.class);
            while (!readiness.isReady()) {
                if (System.nanoTime() > end || mStop.await(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                    throw new IllegalStateException(
                            "an instance is not ready: " + readiness.unmetConditions());
                }
            }
        }
    }

    private void deleteFiles() throws IOException {
        try (Stream<Path> paths = Files.walk(mFolder)) {
            paths.sorted(Comparator.reverseOrder())
                    .forEach(
                            path -> {
                                try {
                                    Files.delete(path);
                                } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                }
                            });
        }
    }
}
