package org.fuchsialever.node.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.decisions.version.EngineReport;
import org.junit.jupiter.api.Test;

class PresenceTest {
    /** Guards against bytes in the store of deployments whose upstreams report three figures. */
    @Test
    void writesTheSameRowAsBeforeWithoutAReportOnEngines() {
        String row = new String(presence(EngineReport.NONE).encode(), StandardCharsets.UTF_8);
        assertThat(row, is("{\"instance\":\"i\",\"start\":\"s\",\"at\":100,\"leaving\":false}"));
    }

    @Test
    void keepsTheReportOnEngines() {
        Presence presence =
                presence(new EngineReport(Set.of("models"), Map.of("e1", 72, "e2", 168)));
        assertThat(Presence.decode("003", presence.encode()).get(), is(presence));
    }

    @Test
    void ignoresSpeedsThatAreNone() {
        byte[] row =
                "{\"instance\":\"i\",\"speeds\":{\"e1\":0,\"e2\":\"fast\",\"e3\":50}}"
                        .getBytes(StandardCharsets.UTF_8);
        assertThat(
                Presence.decode("003", row).get().engines().speedPercents(), is(Map.of("e3", 50)));
    }

    private static Presence presence(EngineReport engines) {
        return new Presence(3, "i", "s", 100, false, engines);
    }
}
