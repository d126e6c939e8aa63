package org.fuchsialever.cli.tables;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.Pool;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.config.TableParser;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.node.NodeProcess;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against example tables that cannot be applied or lack the sizes of the deployments. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @CsvSource({"garnitura, 6, 4", "crushline, 6, 6"})
    void tablesHaveTheSizesOfTheDeployment(String deployment, int engines, int services)
            throws Exception {
        Findings findings = new Findings();
        ConfigSnapshot snapshot =
                TableParser.parse(
                                1,
                                "routes.ini",
                                read(deployment, "routes.ini"),
                                "pools.ini",
                                read(deployment, "pools.ini"),
                                findings)
                        .getOrElseThrow(() -> new AssertionError(findings.report()));

        assertThat(findings.report(), is(""));
        assertThat(upstreams(snapshot, UpstreamKind.ENGINE).size(), is(engines));
        assertThat(upstreams(snapshot, UpstreamKind.PLAIN).size(), is(services));
        assertThat(snapshot.teamWeights().size(), is(8));
        List<UpstreamSpec> all =
                snapshot.pools().values().stream().flatMap(p -> p.upstreams().stream()).toList();
        assertThat(all.stream().map(UpstreamSpec::domain).distinct().count(), is(3L));
        assertThat(all.stream().map(UpstreamSpec::capacity).distinct().count(), is(2L));
        assertThat(all.stream().map(UpstreamSpec::fencing).distinct().count(), is(2L));
        Collection<Route> routes = snapshot.routes().values();
        assertThat(routes.stream().map(Route::access).distinct().count(), is(2L));
        assertThat(routes.stream().map(Route::repeatable).distinct().count(), is(2L));
    }

    @ParameterizedTest
    @CsvSource({"garnitura", "crushline"})
    void anInstanceStartsFromTheNodeSettings(String deployment) throws Exception {
        // Loopback addresses and a free port, so that the test needs no other network.
        String settings =
                read(deployment, "node.ini")
                        .replaceAll("10\\.20\\.\\d+\\.\\d+", "127.0.0.1")
                        .replaceAll("http-port = \\d+", "http-port = 0");
        NodeProcess.start("node.ini", settings)
                .getOrElseThrow(findings -> new AssertionError(findings.report()))
                .close();
    }

    private static List<UpstreamSpec> upstreams(ConfigSnapshot snapshot, UpstreamKind kind) {
        return snapshot.pools().values().stream()
                .filter(pool -> pool.kind() == kind)
                .map(Pool::upstreams)
                .flatMap(List::stream)
                .toList();
    }

    private static String read(String deployment, String file) throws IOException {
        return Files.readString(EXAMPLES.resolve(deployment).resolve(file));
    }
}
