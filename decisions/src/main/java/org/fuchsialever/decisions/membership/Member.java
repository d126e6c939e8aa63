package org.fuchsialever.decisions.membership;

import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * What is known about an instance.
 *
 * @param instance its name
 * @param region its region
 * @param domain its failure domain
 * @param incarnation its incarnation number, which it alone raises, to refute a suspicion
 * @param state its state
 */
public record Member(
        InstanceId instance,
        String region,
        FailureDomain domain,
        long incarnation,
        MemberState state) {

    /** Returns this member in another state. */
    public Member withState(MemberState newState) {
        return new Member(instance, region, domain, incarnation, newState);
    }

    /** Returns whether this report replaces another one about the same instance. */
    public boolean replaces(Member other) {
        return state.replaces(incarnation, other.state, other.incarnation);
    }
}
