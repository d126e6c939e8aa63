package org.fuchsialever.node;

import java.util.UUID;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * Who this instance is.
 *
 * @param instance its name
 * @param startId identity of this start of the process
 * @param region its region
 * @param failureDomain its failure domain
 */
public record NodeIdentity(
        InstanceId instance, String startId, String region, FailureDomain failureDomain) {

    /** Returns an identity with a new identity of the start. */
    public static NodeIdentity startNow(InstanceId instance, String region, FailureDomain domain) {
        return new NodeIdentity(instance, UUID.randomUUID().toString(), region, domain);
    }
}
