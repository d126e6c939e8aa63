package org.fuchsialever.node;

import java.util.UUID;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * The identity of this instance.
 *
 * @param instance name of the instance
 * @param start ID of this start of the process, new at each start
 * @param region name of its region
 * @param domain the failure domain that it runs in
 */
public record NodeIdentity(InstanceId instance, String start, String region, FailureDomain domain) {

    /** Returns an identity with a new random start ID. */
    public static NodeIdentity startNow(InstanceId instance, String region, FailureDomain domain) {
        return new NodeIdentity(instance, UUID.randomUUID().toString(), region, domain);
    }
}
