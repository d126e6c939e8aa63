package org.fuchsialever.decisions.version;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Speeds of engines by the reports of all instances that use them. */
final class EngineSpeeds {
    /** Members that use engines report several times within this time. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(25);

    private final Map<String, TimedReport> mReports = new HashMap<>();

    /** Replaces what an instance has reported before. */
    void report(String instance, Map<String, Integer> speedPercents, long nowNanos) {
        mReports.put(instance, new TimedReport(speedPercents, nowNanos));
    }

    /** Returns the speeds of engines, 1 for the usual one; an engine without entry has that. */
    Map<String, Double> speeds(long nowNanos) {
        mReports.values().removeIf(report -> nowNanos - report.atNanos >= LIFETIME_NANOS);
        Map<String, Integer> sums = new HashMap<>();
        Map<String, Integer> counts = new HashMap<>();
        for (TimedReport report : mReports.values()) {
            report.speedPercents.forEach(
                    (engine, percent) -> {
                        sums.merge(engine, percent, Integer::sum);
                        counts.merge(engine, 1, Integer::sum);
                    });
        }
        Map<String, Double> speeds = new HashMap<>();
        sums.forEach(
                (engine, sum) -> speeds.put(engine, sum / 100.0 / counts.getOrDefault(engine, 1)));
        return speeds;
    }

    private record TimedReport(Map<String, Integer> speedPercents, long atNanos) {}
}
