package org.fuchsialever.node.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.decisions.membership.MemberState;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.node.dispatch.CallObserver;
import org.fuchsialever.node.dispatch.DispatchFeed;
import org.fuchsialever.node.peers.PeerMessages;
import org.junit.jupiter.api.Test;

class ShareExchangeTest {
    private static final FailureDomain OWN = new FailureDomain("fd-0");
    private static final DispatchEvent.TeamCost COST =
            new DispatchEvent.TeamCost(new TeamName("alba"), 12.5, 3);

    private final List<InstanceId> mReceivers = new ArrayList<>();
    private final List<PeerMessage> mSent = new ArrayList<>();
    private final List<DispatchEvent> mReported = new ArrayList<>();

    @Test
    void sendsSharesToAllMembersOfASmallGroup() {
        exchange(11).publish(new DispatchAction.PublishShares(new PoolName("p"), List.of(COST)));

        assertThat(mReceivers, hasSize(11));
    }

    /** Guards against message counts that grow with the square of the number of instances. */
    @Test
    void sendsSharesOnlyWithinItsFailureDomainInALargeGroup() {
        exchange(400).publish(new DispatchAction.PublishShares(new PoolName("p"), List.of(COST)));

        assertThat(mReceivers, hasSize(10));
    }

    @Test
    void passesReceivedSharesToTheDispatchDutyUnchanged() {
        ShareExchange exchange = exchange(3);
        exchange.publish(new DispatchAction.PublishShares(new PoolName("p"), List.of(COST)));

        exchange.receive(new InstanceId("n7"), (PeerMessage.ShareCounters) mSent.get(0));

        assertThat(
                mReported,
                contains(new DispatchEvent.SharesReceived("n7", new PoolName("p"), List.of(COST))));
    }

    private ShareExchange exchange(int members) {
        return new ShareExchange(new RecordingPeers(members), new RecordingFeed(), OWN);
    }

    private final class RecordingFeed implements DispatchFeed {
        @Override
        public void report(DispatchEvent event) {
            mReported.add(event);
        }

        @Override
        public void addShareListener(Consumer<DispatchAction.PublishShares> listener) {}

        @Override
        public void addCallObserver(CallObserver observer) {}
    }

    private final class RecordingPeers implements PeerMessages {
        private static final int DOMAINS = 40;
        private final List<Member> mMembers = new ArrayList<>();

        private RecordingPeers(int count) {
            for (int i = 0; i < count; i++) {
                mMembers.add(
                        new Member(
                                new InstanceId("n" + i),
                                "r1",
                                new FailureDomain("fd-" + i % DOMAINS),
                                0,
                                MemberState.ALIVE));
            }
        }

        @Override
        public boolean send(InstanceId receiver, PeerMessage message) {
            mReceivers.add(receiver);
            mSent.add(message);
            return true;
        }

        @Override
        public void broadcast(PeerMessage message) {}

        @Override
        public void gossip(PeerMessage message) {}

        @Override
        public <M extends PeerMessage> void subscribe(Class<M> type, Handler<M> handler) {}

        @Override
        public List<Member> members() {
            return mMembers;
        }

        @Override
        public boolean isIsolated() {
            return false;
        }

        @Override
        public void announceVersions(long configVersion, long keyVersion) {}

        @Override
        public void leave() {}
    }
}
