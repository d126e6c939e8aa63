package org.fuchsialever.decisions.forward;

import org.fuchsialever.decisions.fleet.ChoiceSurcharge;

/** Surcharges of upstreams that depend on the call. */
@FunctionalInterface
interface CallSurcharge {
    /**
     * Returns the surcharges for the next attempt of a call.
     *
     * @param now monotonic time in nanoseconds
     */
    ChoiceSurcharge of(ForwardCallState state, long now);

    /** Returns surcharges that are the same for all calls. */
    static CallSurcharge sameForAll(ChoiceSurcharge surcharge) {
        return (state, now) -> surcharge;
    }
}
