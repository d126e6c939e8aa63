package org.fuchsialever.decisions.membership;

import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * Known state of an instance.
 *
 * @param incarnation incarnation number, which only the instance itself increments, to refute a
 *     suspicion
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

    /** Returns whether this report supersedes another one about the same instance. */
    public boolean replaces(Member other) {
        return state.replaces(incarnation, other.state, other.incarnation);
    }
}
