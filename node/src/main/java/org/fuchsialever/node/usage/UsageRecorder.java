package org.fuchsialever.node.usage;

import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.UsageKey;

/** Counts usage. */
public interface UsageRecorder {

    /**
     * Counts work that an upstream did now. Does not block.
     *
     * @param key team, route and class of the work
     * @param figures its amounts
     * @return false if the ring is full and the work was not counted
     */
    boolean record(UsageKey key, UsageCounts figures);
}
