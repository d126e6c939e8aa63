package org.fuchsialever.node.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.version.EngineReport;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

class EngineReportsTest {
    private final EngineReports mReports = new EngineReports(new ManualTimeSource(0));
    private final List<String> mNoted = new ArrayList<>();

    @Test
    void reportsNothingWhereUpstreamsReportThreeFigures() {
        mReports.addListener(mNoted::add);
        mReports.noteLoad("models", new LoadHint(1, 0, 6, Option.none()));
        paces();
        assertThat(mReports.report(), is(EngineReport.NONE));
        assertThat(mNoted, is(List.of()));
    }

    @Test
    void reportsServicesAndSpeedsWhereUpstreamsReportTheirSlowdown() {
        mReports.addListener(mNoted::add);
        mReports.noteLoad("models", new LoadHint(1, 0, 6, Option.some(1.0)));
        mReports.noteLoad("models", new LoadHint(1, 0, 6, Option.some(2.5)));
        paces();
        assertThat(mReports.report(), is(new EngineReport(Set.of("models"), Map.of("e3", 50))));
        assertThat(mNoted, is(List.of("models")));
    }

    @Test
    void tellsALaterListenerWhatIsKnown() {
        mReports.noteReporting("models");
        mReports.addListener(mNoted::add);
        assertThat(mNoted, is(List.of("models")));
    }

    private void paces() {
        for (int call = 0; call < 10; call++) {
            for (int engine = 0; engine < 4; engine++) {
                FleetUpstream upstream =
                        new FleetUpstream(
                                "e" + engine, "models", "10.0.0.1", 80, "z", 6, true, Map.of(), 1);
                mReports.notePace(upstream, "m", engine == 3 ? 2_000 : 1_000);
            }
        }
    }
}
