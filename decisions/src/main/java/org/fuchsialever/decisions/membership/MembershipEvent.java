package org.fuchsialever.decisions.membership;

import java.util.List;

/** Event of the membership duty. */
public sealed interface MembershipEvent {

    /**
     * The platform's list of instances was read; it may lag behind.
     *
     * @param instances its entries, with incarnation number 0
     */
    record InstancesListed(List<Member> instances) implements MembershipEvent {

        /** Copies the list. */
        public InstancesListed {
            instances = List.copyOf(instances);
        }
    }

    /** A heartbeat was received. */
    record HeartbeatReceived(PeerMessage.Heartbeat heartbeat) implements MembershipEvent {}

    /** The versions that this instance puts in its heartbeats have changed. */
    record VersionsChanged(long configVersion, long keyVersion) implements MembershipEvent {}

    /** This instance is shutting down. */
    record LeaveRequested() implements MembershipEvent {}
}
