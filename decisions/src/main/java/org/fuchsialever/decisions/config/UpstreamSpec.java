package org.fuchsialever.decisions.config;

import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * One upstream of the pool table.
 *
 * @param id its name
 * @param pool the pool that it serves
 * @param address its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param capacity how it is paid for
 * @param slots how many requests it handles at once
 * @param fencing whether it checks fencing numbers
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
