package org.fuchsialever.services;

import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * An upstream in the platform's list.
 *
 * @param kind the kind of capacity that it runs on
 * @param address its IP address
 * @param reclaimAtMillis wall-clock time in milliseconds since the epoch at which the platform
 *     reclaims its capacity, 0 if no reclaim is announced
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
