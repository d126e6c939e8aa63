package org.fuchsialever.decisions.weights;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.model.WeightVersion;

/** State of one engine as known to the weight duty. */
final class TrackedEngine {
    private static final long REPORT_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long INITIAL_RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 5;

    /** Time for which an engine stays on its earlier version after its last failed attempt. */
    private static final long FALLBACK_NANOS = TimeUnit.MINUTES.toNanos(1);

    final WeightEvent.Engine engine;

    private Option<WeightVersion> reportedVersion = Option.none();
    private Option<WeightVersion> previousVersion = Option.none();
    private String startId = "";
    private long reportedAt;
    private Option<WeightVersion> orderedVersion = Option.none();
    private Option<Long> acceptedAt = Option.none();
    private WeightVersion failedVersion = new WeightVersion(0);
    private int failureCount;
    private long nextAttemptAt = Long.MIN_VALUE;
    private long fallbackUntil = Long.MIN_VALUE;

    TrackedEngine(WeightEvent.Engine engine) {
        this.engine = engine;
    }

    void onReport(WeightVersion version, String newStart, long now) {
        if (!newStart.equals(startId)) {
            // A restart aborts any load in progress.
            acceptedAt = Option.none();
            nextAttemptAt = Long.MIN_VALUE;
        }
        startId = newStart;
        reportedVersion = Option.some(version);
        reportedAt = now;
        if (orderedVersion.contains(version)) {
            orderedVersion = Option.none();
            acceptedAt = Option.none();
            if (version.equals(failedVersion)) {
                failureCount = 0;
            }
        }
    }

    Option<WeightVersion> reportedVersion() {
        return reportedVersion;
    }

    boolean serves(WeightVersion version) {
        return reportedVersion.contains(version);
    }

    boolean isReachable(long now) {
        return reportedVersion.isDefined() && now - reportedAt <= REPORT_VALIDITY_NANOS;
    }

    /**
     * Returns the version that the engine should serve: its earlier version while the fallback
     * period after failed loads of the target lasts, else the target.
     */
    WeightVersion versionToServe(WeightVersion target, long now) {
        return now < fallbackUntil && target.equals(failedVersion)
                ? previousVersion.getOrElse(target)
                : target;
    }

    boolean isBackingOff(long now) {
        return now < nextAttemptAt;
    }

    boolean isAwaitingReport() {
        return acceptedAt.isDefined();
    }

    boolean isLoadOverdue(long now, long timeoutNanos) {
        return acceptedAt.exists(at -> now - at > timeoutNanos);
    }

    void onOrdered(WeightVersion version) {
        if (!reportedVersion.contains(version) && !failedVersion.equals(version)) {
            previousVersion = reportedVersion;
        }
        orderedVersion = Option.some(version);
        acceptedAt = Option.none();
    }

    Option<WeightVersion> orderedVersion() {
        return orderedVersion;
    }

    void onAccepted(long now) {
        if (orderedVersion.isDefined()) {
            acceptedAt = Option.some(now);
        }
    }

    /**
     * Records a failed load and returns whether it was the last attempt before the fallback period.
     */
    boolean onFailed(WeightVersion version, int attempts, long now) {
        failureCount = version.equals(failedVersion) ? failureCount + 1 : 1;
        failedVersion = version;
        orderedVersion = Option.none();
        acceptedAt = Option.none();
        nextAttemptAt =
                now + (INITIAL_RETRY_DELAY_NANOS << Math.min(MAX_DOUBLINGS, failureCount - 1));
        boolean last = failureCount >= attempts;
        if (last) {
            fallbackUntil = now + FALLBACK_NANOS;
            failureCount = 0;
        }
        return last;
    }
}
