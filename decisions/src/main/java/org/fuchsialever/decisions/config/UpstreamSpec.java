package org.fuchsialever.decisions.config;

import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * An upstream of the pool table.
 *
 * @param address IP address
 * @param port TCP port
 * @param slots maximum number of concurrent requests
 * @param fencing whether it checks fencing tokens
 * @param state whether it takes new work
 */
public record UpstreamSpec(
        UpstreamId id,
        PoolName pool,
        String address,
        int port,
        FailureDomain domain,
        CapacityKind capacity,
        int slots,
        Fencing fencing,
        UpstreamState state) {}
