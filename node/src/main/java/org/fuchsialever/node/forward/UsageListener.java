package org.fuchsialever.node.forward;

/** Is told of calls that upstreams may have run; must not block. */
@FunctionalInterface
public interface UsageListener {

    /**
     * Called once for each attempt that may have run, when it has ended.
     *
     * @param team the team that the call is metered for
     * @param wallMillis when the attempt was sent, Unix time in milliseconds
     */
    void onCallStarted(String team, long wallMillis);
}
