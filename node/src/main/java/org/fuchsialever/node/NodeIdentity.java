package org.fuchsialever.node;

import java.util.UUID;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * The identity of this instance.
 *
 * @param instance name of the instance
 * @param startId ID of this start of the process, new at each start
 * @param region name of its region
 * @param failureDomain the failure domain that it runs in
 */
public record NodeIdentity(
        InstanceId instance, String startId, String region, FailureDomain failureDomain) {

    /** Returns an identity with a new random start ID. */
    public static NodeIdentity startNow(InstanceId instance, String region, FailureDomain domain) {
        return new NodeIdentity(instance, UUID.randomUUID().toString(), region, domain);
    }
}
