package org.fuchsialever.node.forward;

/** Takes listeners that learn of calls that upstreams have begun to run. */
@FunctionalInterface
public interface UsageListeners {

    /** Adds a listener. */
    void add(UsageListener listener);
}
