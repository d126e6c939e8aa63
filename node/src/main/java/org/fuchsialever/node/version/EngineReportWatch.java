package org.fuchsialever.node.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsialever.decisions.version.EngineReport;
import org.fuchsialever.decisions.version.VersionEvent;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.DirectoryListener;
import org.fuchsialever.node.directory.Presence;

/** Passes on what members of the working set tell about engines with their heartbeats. */
final class EngineReportWatch implements DirectoryListener {
    /** A report is in several heartbeats, so that readers do not miss it, and counts once. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final TimeSource mTime;
    private final Consumer<String> mReportingServices;
    private final Consumer<VersionEvent> mEvents;
    private final Map<String, PassedReport> mPassed = new HashMap<>();

    EngineReportWatch(
            TimeSource time, Consumer<String> reportingServices, Consumer<VersionEvent> events) {
        mTime = time;
        mReportingServices = reportingServices;
        mEvents = events;
    }

    @Override
    public void onPresencesChanged(
            List<Directory.VersionedPresence> changed, List<Integer> removed) {
        long now = mTime.nanoTime();
        mPassed.values().removeIf(passed -> now - passed.atNanos >= REPEAT_NANOS);
        for (Directory.VersionedPresence row : changed) {
            Presence presence = row.presence();
            EngineReport report = presence.engines();
            report.reportingServices().forEach(mReportingServices);
            PassedReport passed = mPassed.get(presence.instance());
            boolean known = passed != null && passed.speedPercents.equals(report.speedPercents());
            if (!report.speedPercents().isEmpty() && !known) {
                mPassed.put(presence.instance(), new PassedReport(report.speedPercents(), now));
                mEvents.accept(
                        new VersionEvent.SpeedsReported(
                                presence.instance(), report.speedPercents()));
            }
        }
    }

    private record PassedReport(Map<String, Integer> speedPercents, long atNanos) {}
}
