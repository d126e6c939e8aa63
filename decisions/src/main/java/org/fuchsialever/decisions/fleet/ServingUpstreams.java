package org.fuchsialever.decisions.fleet;

import io.vavr.control.Option;
import java.util.Map;

/**
 * The upstreams that may get calls. A copy for other threads, which ask it again when a call that
 * has waited for its connection is sent. Immutable.
 */
public final class ServingUpstreams {
    private final Map<String, Option<Long>> mLeavingSince;
    private final long mLeavingNanos;

    /**
     * Creates a copy.
     *
     * @param leavingSince the listed upstreams that accept calls, each with the time since which it
     *     is leaving by its own responses, in monotonic nanoseconds
     * @param leavingNanos how long after its announcement an upstream may get calls
     */
    ServingUpstreams(Map<String, Option<Long>> leavingSince, long leavingNanos) {
        mLeavingSince = Map.copyOf(leavingSince);
        mLeavingNanos = leavingNanos;
    }

    /** Returns a copy of a fleet without upstreams. */
    public static ServingUpstreams none() {
        return new ServingUpstreams(Map.of(), 0);
    }

    /**
     * Returns whether an upstream may get a call.
     *
     * @param upstream name of the upstream
     * @param sentNanos when the caller sent the call at the latest, in monotonic nanoseconds
     */
    public boolean mayGet(String upstream, long sentNanos) {
        Option<Long> since = mLeavingSince.get(upstream);
        return since != null && since.forAll(at -> sentNanos - at <= mLeavingNanos);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServingUpstreams serving
                && serving.mLeavingSince.equals(mLeavingSince)
                && serving.mLeavingNanos == mLeavingNanos;
    }

    @Override
    public int hashCode() {
        return mLeavingSince.hashCode();
    }
}
