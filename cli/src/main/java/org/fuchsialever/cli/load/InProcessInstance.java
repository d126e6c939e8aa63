package org.fuchsialever.cli.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.fuchsialever.cli.standins.StandInFiles;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.node.NodeProcess;
import org.fuchsialever.standins.EngineOptions;
import org.fuchsialever.standins.StandInEnvironment;
import org.fuchsialever.standins.StandInServer;

/** An instance with one engine and one plain service as stand-ins, all in this process. */
final class InProcessInstance implements AutoCloseable {
    private static final int SLOTS = 1_024;

    private final Closer mCloser = new Closer();
    private final StandInEnvironment mWorld;
    private final NodeProcess mNode;

    InProcessInstance(Duration tokenInterval) throws IOException {
        EngineOptions options =
                new EngineOptions().slots(SLOTS).queueCapacity(SLOTS).tokenInterval(tokenInterval);
        mWorld =
                mCloser.register(
                        "stand-ins",
                        StandInEnvironment.builder()
                                .engine("engine-1", options)
                                .plainService("desk-1", Duration.ZERO)
                                .start());
        try {
            mNode = mCloser.register("instance", startNode());
        } catch (IOException | RuntimeException e) {
            mCloser.close();
            throw e;
        }
    }

    LoadTarget instance() {
        String url =
                "http://" + StandInServer.HOST + ":" + mNode.service(HttpFrontEnd.class).port();
        return new LoadTarget("instance", url + "/v1/completions", url + "/desk", "");
    }

    LoadTarget direct() {
        return new LoadTarget(
                "direct",
                mWorld.engine("engine-1").url() + "/v1/completions",
                mWorld.plainService("desk-1").url() + "/desk",
                "");
    }

    @Override
    public void close() {
        mCloser.close();
    }

    private NodeProcess startNode() throws IOException {
        StandInFiles files = new StandInFiles(mWorld, 1, 1, 1, SLOTS);
        Path folder = Files.createTempDirectory("fuchsialever-load");
        Path routes = folder.resolve("routes.ini");
        Path pools = folder.resolve("pools.ini");
        try {
            Files.writeString(routes, files.routes());
            Files.writeString(pools, files.pools());
            return NodeProcess.start("node.ini", files.nodeSettings(1, 0, folder))
                    .getOrElseThrow(findings -> new IllegalStateException(findings.report()));
        } finally {
            Files.deleteIfExists(routes);
            Files.deleteIfExists(pools);
            Files.deleteIfExists(folder);
        }
    }
}
