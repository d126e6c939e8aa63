package org.fuchsialever.decisions.membership;

import java.util.List;
import org.fuchsialever.decisions.model.InstanceId;

/** Action of the membership duty. */
public sealed interface MembershipAction {

    /** Read the platform's list of instances. */
    record ReadInstances() implements MembershipAction {}

    /** Send a heartbeat to one instance. */
    record SendHeartbeat(InstanceId receiver, PeerMessage.Heartbeat heartbeat)
            implements MembershipAction {}

    /**
     * The view has changed.
     *
     * @param members the other members, suspected and leaving ones included
     * @param isolated whether this instance does not reach more than half of those it tried
     */
    record ViewChanged(List<Member> members, boolean isolated) implements MembershipAction {

        /** Copies the list. */
        public ViewChanged {
            members = List.copyOf(members);
        }
    }
}
