package org.fuchsialever.node.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.decisions.version.EngineReport;
import org.fuchsialever.decisions.version.VersionEvent;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.Presence;
import org.junit.jupiter.api.Test;

class EngineReportWatchTest {
    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private final List<String> mServices = new ArrayList<>();
    private final List<VersionEvent> mEvents = new ArrayList<>();
    private final EngineReportWatch mWatch =
            new EngineReportWatch(mTime, mServices::add, mEvents::add);

    @Test
    void passesOnWhichServicesReportASlowdown() {
        heartbeat(new EngineReport(Set.of("models"), Map.of()));
        assertThat(mServices, is(List.of("models")));
        assertThat(mEvents, is(empty()));
    }

    @Test
    void passesOnARepeatedReportOnceInAWhile() {
        EngineReport report = new EngineReport(Set.of("models"), Map.of("e", 70));
        heartbeat(report);
        heartbeat(EngineReport.NONE);
        heartbeat(report);
        assertThat(mEvents, hasSize(1));
        mTime.advance(Duration.ofSeconds(8));
        heartbeat(report);
        assertThat(mEvents, hasSize(2));
    }

    @Test
    void passesOnAChangedReportAtOnce() {
        heartbeat(new EngineReport(Set.of("models"), Map.of("e", 70)));
        heartbeat(new EngineReport(Set.of("models"), Map.of("e", 60)));
        assertThat(mEvents, hasSize(2));
    }

    private void heartbeat(EngineReport report) {
        Presence presence = new Presence(3, "i", "s", 100, false, report);
        mWatch.onPresencesChanged(List.of(new Directory.VersionedPresence(presence, 1)), List.of());
    }
}
