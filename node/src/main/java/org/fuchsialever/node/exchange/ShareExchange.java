package org.fuchsialever.node.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.node.dispatch.DispatchFeed;
import org.fuchsialever.node.peers.PeerMessages;

/**
 * Exchanges the cost and demand of each team between instances. In a small group each instance
 * sends to all others. In a large group the number of messages would grow with the square of its
 * size, so each instance sends only within its failure domain, and shares are divided there.
 */
final class ShareExchange {
    private static final int MAX_RECEIVERS = 32;

    private final PeerMessages mPeers;
    private final DispatchFeed mDispatch;
    private final FailureDomain mDomain;

    ShareExchange(PeerMessages peers, DispatchFeed dispatch, FailureDomain domain) {
        mPeers = peers;
        mDispatch = dispatch;
        mDomain = domain;
    }

    /** Sends the cost and demand of each team on this instance. */
    void publish(DispatchAction.PublishShares published) {
        List<PeerMessage.Share> shares = new ArrayList<>();
        for (DispatchEvent.TeamCost cost : published.costs()) {
            shares.add(
                    new PeerMessage.Share(
                            published.pool(), cost.team(), cost.cost(), cost.demand()));
        }
        PeerMessage.ShareCounters message = new PeerMessage.ShareCounters(shares);
        List<Member> members = mPeers.members();
        for (Member member : members) {
            boolean exchanges = members.size() <= MAX_RECEIVERS || member.domain().equals(mDomain);
            if (exchanges && member.state().isListed()) {
                mPeers.send(member.instance(), message);
            }
        }
    }

    /** Reports the cost and demand of each team on another instance. */
    void receive(InstanceId sender, PeerMessage.ShareCounters message) {
        Map<PoolName, List<DispatchEvent.TeamCost>> byPool = new HashMap<>();
        for (PeerMessage.Share share : message.shares()) {
            byPool.computeIfAbsent(share.pool(), pool -> new ArrayList<>())
                    .add(new DispatchEvent.TeamCost(share.team(), share.cost(), share.demand()));
        }
        byPool.forEach(
                (pool, costs) ->
                        mDispatch.report(
                                new DispatchEvent.SharesReceived(sender.value(), pool, costs)));
    }
}
