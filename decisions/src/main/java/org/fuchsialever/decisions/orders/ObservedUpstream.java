package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.model.UpstreamId;

/**
 * An upstream as the ordering interface states it.
 *
 * @param id its name
 * @param placement where and how it runs
 * @param state its state
 */
public record ObservedUpstream(UpstreamId id, CapacityPlacement placement, State state) {

    /** State of an upstream. */
    public enum State {
        STARTING(true, false),
        SERVING(true, true),
        /** Stops soon, for example because it is reclaimed. */
        LEAVING(false, false),
        STOPPED(false, false);

        private final boolean counts;
        private final boolean serves;

        State(boolean counts, boolean serves) {
            this.counts = counts;
            this.serves = serves;
        }

        /** Returns whether the upstream is part of the capacity that is kept. */
        public boolean countsAsCapacity() {
            return counts;
        }

        /** Returns whether the upstream takes new work. */
        public boolean isServing() {
            return serves;
        }
    }
}
