package org.fuchsialever.node.peers;

import java.util.List;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * Exchange of messages with the other instances. Messages may be lost, repeated and reordered, so
 * they carry absolute values or grow-only sets. No method blocks.
 */
public interface PeerMessages {

    /**
     * Queues a message for one instance; messages to unknown instances are dropped and counted.
     *
     * @return whether the instance is a member now; says nothing about delivery
     */
    boolean send(InstanceId receiver, PeerMessage message);

    /**
     * Queues a message for all other members. For rare messages only: the cost of the whole service
     * grows with the square of the number of instances.
     */
    void broadcast(PeerMessage message);

    /** Queues a message for {@code log2(n)+1} members, preferring those of the own region. */
    void gossip(PeerMessage message);

    /**
     * Adds a handler for messages of one type. It is called on an event loop and must not block;
     * usually it offers an event to the inbox of a duty.
     */
    <M extends PeerMessage> void subscribe(Class<M> type, Handler<M> handler);

    /** Returns the other members, those that are suspected or leaving included. */
    List<Member> members();

    /** Returns whether more than half of the known instances do not answer this one. */
    boolean isIsolated();

    /**
     * Sets the versions that the heartbeats of this instance name.
     *
     * @param configVersion the highest configuration version seen
     * @param keyVersion the highest version of the keys seen
     */
    void announceVersions(long configVersion, long keyVersion);

    /** Announces that this instance leaves; it stays a member until its process ends. */
    void leave();

    /** Receives messages of one type. */
    @FunctionalInterface
    interface Handler<M extends PeerMessage> {

        /** Handles a message from another instance. */
        void onMessage(InstanceId sender, M message);
    }
}
