package org.fuchsialever.standins;

/**
 * An entry of the instance list.
 *
 * @param host the IP address of the instance
 * @param httpPort the TCP port of its front end
 * @param peerPort the TCP port for other instances
 * @param leaving whether the instance is shutting down
 */
public record ListedInstanceEntry(
        String name,
        String host,
        int httpPort,
        int peerPort,
        String region,
        String failureDomain,
        boolean leaving) {}
