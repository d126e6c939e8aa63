package org.fuchsialever.node.forward;

/** Learns of calls that upstreams have begun to run; must not block. */
@FunctionalInterface
public interface UsageListener {

    /**
     * A call has begun to run.
     *
     * @param team the team that it is counted for
     * @param wallMillis when it was sent, Unix time in milliseconds
     */
    void onCallStarted(String team, long wallMillis);
}
