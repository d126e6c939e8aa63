package org.fuchsialever.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.List;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.orders.ObservedUpstream.State;
import org.junit.jupiter.api.Test;

/** Guards against lack of capacity after reclaims or refusals, and against unnecessary cost. */
class OrderDutyTest {
    private final PoolFixture mPool = new PoolFixture(OrderPolicy.PLANNED);

    private void serveDemand(double live) {
        mPool.setDemand(live, 0);
        mPool.runSeconds(5);
        mPool.startedUpstreamsServe();
        mPool.runSeconds(5);
    }

    @Test
    void ordersEachUpstreamOnceWhileTheListLags() {
        serveDemand(64);
        // 64 slots at 80% of 10 slots need 8 upstreams after the loss of a cheap failure domain.
        assertThat(mPool.count(CapacityKind.CHEAP, State.SERVING), equalTo(12L));
        mPool.runSeconds(60);
        assertThat(mPool.mReceived.size(), equalTo(12));
    }

    @Test
    void fallsBackToRegularCapacityWhenCheapCapacityIsUnavailable() {
        PoolFixture.DOMAINS.forEach(
                domain ->
                        mPool.mUnavailable.add(new CapacityPlacement(CapacityKind.CHEAP, domain)));
        serveDemand(64);
        assertThat(mPool.count(CapacityKind.REGULAR, State.SERVING), equalTo(8L));
    }

    @Test
    void asksForRefusedCapacityAgainWithGrowingDelays() {
        PoolFixture.DOMAINS.forEach(
                domain ->
                        mPool.mUnavailable.add(new CapacityPlacement(CapacityKind.CHEAP, domain)));
        serveDemand(64);
        int early = mPool.mRefused.size();
        assertThat(early, greaterThanOrEqualTo(3));
        mPool.runSeconds(600);
        CapacityPlacement placement = PoolFixture.placement(CapacityKind.CHEAP, "a");
        long rounds =
                mPool.mReceived.stream()
                        .filter(order -> order.placement().equals(placement))
                        .count();
        assertThat(rounds, lessThanOrEqualTo(40L));
        mPool.mUnavailable.clear();
        mPool.runSeconds(700);
        assertThat(mPool.count(CapacityKind.CHEAP, State.STARTING), greaterThan(0L));
    }

    @Test
    void keepsTheGuaranteedNeedWhenAWholeCheapFailureDomainIsReclaimed() {
        serveDemand(64);
        mPool.reclaim("b");
        assertThat(mPool.count(CapacityKind.CHEAP, State.SERVING), equalTo(8L));
        mPool.runSeconds(2);
        assertThat(mPool.mLeaving.size(), equalTo(4));
        mPool.startedUpstreamsServe();
        mPool.runSeconds(5);
        mPool.startedUpstreamsServe();
        long serving =
                mPool.count(CapacityKind.CHEAP, State.SERVING)
                        + mPool.count(CapacityKind.REGULAR, State.SERVING);
        assertThat(serving, greaterThanOrEqualTo(12L));
    }

    @Test
    void tellsDispatchBeforeItStopsAnUpstreamAndLeavesTimeForRunningRequests() {
        serveDemand(64);
        mPool.setDemand(16, 0);
        mPool.runSeconds(62);
        assertThat(mPool.mLeaving.isEmpty(), is(false));
        assertThat(stops(), is(empty()));
        mPool.runSeconds(40);
        assertThat(new HashSet<>(mPool.mLeaving).containsAll(stops()), is(true));
        assertThat(stops().size(), greaterThan(0));
    }

    @Test
    void retainsSpareCapacityUntilItHasCostAsMuchAsARestart() {
        serveDemand(64);
        mPool.setDemand(16, 0);
        mPool.runSeconds(55);
        assertThat(mPool.mLeaving, is(empty()));
        mPool.setDemand(64, 0);
        mPool.runSeconds(10);
        assertThat(mPool.mReceived.size(), equalTo(12));
    }

    @Test
    void neverUsesTheNameOfAnUpstreamAgain() {
        serveDemand(64);
        mPool.setDemand(0, 0);
        mPool.runSeconds(200);
        serveDemand(64);
        List<UpstreamId> names =
                mPool.mReceived.stream()
                        .filter(order -> order.action() == UpstreamCommand.Action.START)
                        .map(UpstreamCommand::upstream)
                        .toList();
        assertThat(new HashSet<>(names).size(), equalTo(names.size()));
        assertThat(names.size(), greaterThan(12));
    }

    @Test
    void publishesEveryUpstreamThatThePlatformTakesAway() {
        serveDemand(64);
        UpstreamId[] gone = mPool.mUpstreams.keySet().stream().limit(2).toArray(UpstreamId[]::new);
        mPool.setState(gone[0], State.LEAVING);
        mPool.setState(gone[1], State.STOPPED);
        mPool.runSeconds(2);
        assertThat(mPool.mLeaving, hasItems(gone));
    }

    private List<UpstreamId> stops() {
        return mPool.mReceived.stream()
                .filter(order -> order.action() == UpstreamCommand.Action.STOP)
                .map(UpstreamCommand::upstream)
                .toList();
    }
}
