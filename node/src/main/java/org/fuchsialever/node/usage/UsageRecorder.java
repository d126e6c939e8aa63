package org.fuchsialever.node.usage;

import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.UsageKey;

/** Counts usage. */
public interface UsageRecorder {

    /**
     * Adds usage to the current window. Does not block.
     *
     * @param key team, route and usage class
     * @param counts requests and tokens to add
     * @return false if the ring is full and the usage was not counted
     */
    boolean record(UsageKey key, UsageCounts counts);
}
