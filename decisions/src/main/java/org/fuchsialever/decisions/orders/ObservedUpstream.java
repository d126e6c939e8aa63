package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.model.UpstreamId;

/**
 * An upstream as reported by the ordering interface.
 *
 * @param placement kind of capacity and failure domain
 */
public record ObservedUpstream(UpstreamId id, CapacityPlacement placement, State state) {

    /** State of an upstream. */
    public enum State {
        STARTING(true, false),
        SERVING(true, true),
        /** Stops soon, for example because its capacity is reclaimed. */
        LEAVING(false, false),
        STOPPED(false, false);

        private final boolean mCounts;
        private final boolean mServes;

        State(boolean counts, boolean serves) {
            mCounts = counts;
            mServes = serves;
        }

        /** Returns whether the upstream counts towards the capacity of the pool. */
        public boolean countsAsCapacity() {
            return mCounts;
        }

        /** Returns whether the upstream accepts new requests. */
        public boolean isServing() {
            return mServes;
        }
    }
}
