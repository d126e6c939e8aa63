package org.fuchsialever.decisions.fleet;

/** What decided for the upstream of an attempt. */
public enum ChoiceBasis {
    /** It had the least load. */
    LEAST_LOAD,
    /** The call was expected to end there clearly earlier than elsewhere. */
    EARLIEST,
    /** One of several at which the call was expected to end about equally early. */
    NEAR_EARLIEST,
    /** One of these that has the prompt of the call cached. */
    CACHED_PROMPT,
    /** It is leaving, and no other upstream could run the call. */
    LEAVING,
    /** It is suspended after faults, and no other upstream could run the call. */
    SUSPENDED;

    /** Returns a choice on this basis, without an estimate of the time. */
    public ChosenUpstream choose(UpstreamState upstream) {
        return new ChosenUpstream(upstream, this, 0);
    }
}
