package org.fuchsialever.decisions.weights;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.model.WeightVersion;

/** What the weight duty knows about one engine. */
final class TrackedEngine {
    private static final long REPORT_VALID_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long FIRST_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 5;

    /** How long an engine stays on its earlier version after the last of its attempts. */
    private static final long STAY_BACK_NANOS = TimeUnit.MINUTES.toNanos(1);

    final WeightEvent.Engine engine;

    private Option<WeightVersion> reported = Option.none();
    private Option<WeightVersion> earlier = Option.none();
    private String start = "";
    private long reportedAt;
    private Option<WeightVersion> ordered = Option.none();
    private Option<Long> acceptedAt = Option.none();
    private WeightVersion failing = new WeightVersion(0);
    private int failures;
    private long nextTryAt = Long.MIN_VALUE;
    private long stayBackUntil = Long.MIN_VALUE;

    TrackedEngine(WeightEvent.Engine engine) {
        this.engine = engine;
    }

    void report(WeightVersion version, String newStart, long now) {
        if (!newStart.equals(start)) {
            // A restart drops whatever the engine was loading.
            acceptedAt = Option.none();
            nextTryAt = Long.MIN_VALUE;
        }
        start = newStart;
        reported = Option.some(version);
        reportedAt = now;
        if (ordered.contains(version)) {
            ordered = Option.none();
            acceptedAt = Option.none();
            if (version.equals(failing)) {
                failures = 0;
            }
        }
    }

    Option<WeightVersion> reported() {
        return reported;
    }

    boolean serves(WeightVersion version) {
        return reported.contains(version);
    }

    boolean inReach(long now) {
        return reported.isDefined() && now - reportedAt <= REPORT_VALID_NANOS;
    }

    /** Returns the version that the engine is to serve, given the target of the rollout. */
    WeightVersion wanted(WeightVersion target, long now) {
        return now < stayBackUntil && target.equals(failing) ? earlier.getOrElse(target) : target;
    }

    boolean waits(long now) {
        return now < nextTryAt;
    }

    boolean awaitsReport() {
        return acceptedAt.isDefined();
    }

    boolean overdue(long now, long timeoutNanos) {
        return acceptedAt.exists(at -> now - at > timeoutNanos);
    }

    void order(WeightVersion version) {
        if (!reported.contains(version) && !failing.equals(version)) {
            earlier = reported;
        }
        ordered = Option.some(version);
        acceptedAt = Option.none();
    }

    Option<WeightVersion> ordered() {
        return ordered;
    }

    void accepted(long now) {
        if (ordered.isDefined()) {
            acceptedAt = Option.some(now);
        }
    }

    /** Notes a failed load and returns whether it was the last attempt for now. */
    boolean failed(WeightVersion version, int attempts, long now) {
        failures = version.equals(failing) ? failures + 1 : 1;
        failing = version;
        ordered = Option.none();
        acceptedAt = Option.none();
        nextTryAt = now + (FIRST_RETRY_NANOS << Math.min(MAX_DOUBLINGS, failures - 1));
        boolean last = failures >= attempts;
        if (last) {
            stayBackUntil = now + STAY_BACK_NANOS;
            failures = 0;
        }
        return last;
    }
}
