package org.fuchsialever.node.forward;

/** Registers listeners for calls that upstreams may have run. */
@FunctionalInterface
public interface UsageListeners {

    /** Adds a listener. */
    void add(UsageListener listener);
}
