package org.fuchsialever.standins;

/** Starts the upstream behind a start order. */
@FunctionalInterface
public interface UpstreamStarter {
    /** Starts nothing; the listed port is one that refuses connections. */
    UpstreamStarter NONE = (upstream, pool) -> 1;

    /**
     * Starts an upstream on loopback. Is called on a thread that may block.
     *
     * @param upstream its name
     * @param pool its pool
     * @return its TCP port
     */
    int start(String upstream, String pool);
}
