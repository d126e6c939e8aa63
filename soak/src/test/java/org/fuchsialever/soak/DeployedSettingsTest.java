package org.fuchsialever.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.fuchsialever.node.NodeMain;
import org.fuchsialever.platform.DeployTemplate;
import org.fuchsialever.platform.StoreStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Starts processes with the settings and the environment of the deploy file. */
class DeployedSettingsTest {
    private static final int EXIT_OK = 0;
    private static final int EXIT_USAGE = 2;

    private static final List<String> BOUNDS =
            List.of(
                    "bounds.drainMs",
                    "bounds.graceS",
                    "bounds.statusTtlS",
                    "bounds.reportWindowS",
                    "bounds.leaseMs");

    @TempDir Path mDirectory;
    private final DeployTemplate mTemplate = new DeployTemplate("n1", "", 0);

    /** Guards against a bound that becomes a fraction, after which no process starts again. */
    @Test
    void startsWhenEachBoundIsAFraction() throws IOException, InterruptedException {
        BOUNDS.forEach(bound -> mTemplate.set(bound, "2500.75"));
        assertThat(start(), is(EXIT_OK));
    }

    @Test
    void startsWhenTheDeploymentHasNoBounds() throws IOException, InterruptedException {
        BOUNDS.forEach(bound -> mTemplate.set(bound, ""));
        assertThat(start(), is(EXIT_OK));
    }

    @Test
    void refusesABoundThatIsNoNumber() throws IOException, InterruptedException {
        mTemplate.set("bounds.graceS", "soon");
        assertThat(start(), is(EXIT_USAGE));
    }

    /** Starts a process that stops at once and returns its exit status. */
    private int start() throws IOException, InterruptedException {
        try (StoreStandIn store = new StoreStandIn()) {
            mTemplate
                    .set("platform.address", store.address())
                    .set("cloud.address", store.address());
            Path settings = Files.writeString(mDirectory.resolve("n1.ini"), mTemplate.settings());
            ProcessBuilder builder =
                    new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-Xmx96m",
                            "-cp",
                            System.getProperty("java.class.path"),
                            NodeMain.class.getName(),
                            "--settings",
                            settings.toString(),
                            "--stop-after",
                            "1");
            builder.environment().putAll(mTemplate.environment());
            return builder.redirectErrorStream(true)
                    .redirectOutput(mDirectory.resolve("n1.log").toFile())
                    .start()
                    .waitFor();
        }
    }
}
