package org.fuchsialever.services;

import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * An upstream as the platform sees it.
 *
 * @param upstream its name
 * @param pool the pool that it serves
 * @param domain its failure domain
 * @param kind how it is paid for
 * @param address its IP address
 * @param port its TCP port
 * @param state its state
 * @param reclaimAtMillis wall-clock time of a reclaim in milliseconds, 0 if none is announced
 */
public record OrderedUpstream(
        UpstreamId upstream,
        PoolName pool,
        FailureDomain domain,
        CapacityKind kind,
        String address,
        int port,
        State state,
        long reclaimAtMillis) {

    /** State of an ordered upstream. */
    public enum State {
        STARTING,
        SERVING,
        LEAVING,
        STOPPED
    }
}
