package org.fuchsialever.decisions.fleet;

/** Extra time that the choice of an upstream adds to the expected time of completion there. */
@FunctionalInterface
public interface ChoiceSurcharge {
    /** Adds nothing. */
    ChoiceSurcharge NONE = (upstream, now) -> 0;

    /**
     * Returns the surcharge of an upstream in nanoseconds, negative for a preferred one.
     *
     * @param now monotonic time in nanoseconds
     */
    long nanos(UpstreamState upstream, long now);
}
