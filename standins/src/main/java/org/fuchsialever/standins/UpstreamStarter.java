package org.fuchsialever.standins;

/** Starts the upstream that a start order asks for. */
@FunctionalInterface
public interface UpstreamStarter {
    /** Starts nothing and returns a port that refuses connections. */
    UpstreamStarter NONE = (upstream, pool) -> 1;

    /**
     * Starts an upstream on a loopback port. Called on a thread that may block.
     *
     * @return the TCP port of the upstream
     */
    int start(String upstream, String pool);
}
