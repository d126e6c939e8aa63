package org.fuchsialever.services;

import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * An instance on the platform's list.
 *
 * @param address its IP address
 * @param httpPort TCP port of its front end
 * @param peerPort TCP port for messages from other instances
 * @param leaving whether it is shutting down
 */
public record ListedInstance(
        InstanceId instance,
        String address,
        int httpPort,
        int peerPort,
        String region,
        FailureDomain domain,
        boolean leaving) {}
