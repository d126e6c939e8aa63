package org.fuchsialever.standins;

/**
 * An entry of the instance list.
 *
 * @param name the name of the instance
 * @param host its IP address
 * @param httpPort the TCP port of its front end
 * @param peerPort the TCP port for other instances
 * @param region its region
 * @param failureDomain its failure domain
 * @param leaving whether it leaves
 */
public record ListedInstanceEntry(
        String name,
        String host,
        int httpPort,
        int peerPort,
        String region,
        String failureDomain,
        boolean leaving) {}
