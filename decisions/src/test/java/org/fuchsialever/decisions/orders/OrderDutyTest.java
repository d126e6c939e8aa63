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

/** Guards against lost service when capacity is reclaimed or refused, and against needless cost. */
class OrderDutyTest {
    private final PoolFixture pool = new PoolFixture(OrderPolicy.PLANNED);

    private void serveDemand(double live) {
        pool.demandIs(live, 0);
        pool.runSeconds(5);
        pool.startedUpstreamsServe();
        pool.runSeconds(5);
    }

    @Test
    void ordersEachUpstreamOnceWhileTheListLags() {
        serveDemand(64);
        // 64 slots at 80% of 10 slots need 8 upstreams after the loss of a cheap failure domain.
        assertThat(pool.count(CapacityKind.CHEAP, State.SERVING), equalTo(12L));
        pool.runSeconds(60);
        assertThat(pool.received.size(), equalTo(12));
    }

    @Test
    void fallsBackToRegularCapacityWhenCheapCapacityIsUnavailable() {
        PoolFixture.DOMAINS.forEach(
                domain -> pool.unavailable.add(new CapacityPlacement(CapacityKind.CHEAP, domain)));
        serveDemand(64);
        assertThat(pool.count(CapacityKind.REGULAR, State.SERVING), equalTo(8L));
    }

    @Test
    void asksForRefusedCapacityAgainWithGrowingDelays() {
        PoolFixture.DOMAINS.forEach(
                domain -> pool.unavailable.add(new CapacityPlacement(CapacityKind.CHEAP, domain)));
        serveDemand(64);
        int early = pool.refused.size();
        assertThat(early, greaterThanOrEqualTo(3));
        pool.runSeconds(600);
        CapacityPlacement place = PoolFixture.place(CapacityKind.CHEAP, "a");
        long rounds =
                pool.received.stream().filter(order -> order.placement().equals(place)).count();
        assertThat(rounds, lessThanOrEqualTo(40L));
        pool.unavailable.clear();
        pool.runSeconds(700);
        assertThat(pool.count(CapacityKind.CHEAP, State.STARTING), greaterThan(0L));
    }

    @Test
    void keepsTheFirmNeedWhenAWholeCheapFailureDomainIsReclaimed() {
        serveDemand(64);
        pool.reclaim("b");
        assertThat(pool.count(CapacityKind.CHEAP, State.SERVING), equalTo(8L));
        pool.runSeconds(2);
        assertThat(pool.leaving.size(), equalTo(4));
        pool.startedUpstreamsServe();
        pool.runSeconds(5);
        pool.startedUpstreamsServe();
        long serving =
                pool.count(CapacityKind.CHEAP, State.SERVING)
                        + pool.count(CapacityKind.REGULAR, State.SERVING);
        assertThat(serving, greaterThanOrEqualTo(12L));
    }

    @Test
    void tellsDispatchBeforeItStopsAnUpstreamAndLeavesTimeForRunningRequests() {
        serveDemand(64);
        pool.demandIs(16, 0);
        pool.runSeconds(62);
        assertThat(pool.leaving.isEmpty(), is(false));
        assertThat(stops(), is(empty()));
        pool.runSeconds(40);
        assertThat(new HashSet<>(pool.leaving).containsAll(stops()), is(true));
        assertThat(stops().size(), greaterThan(0));
    }

    @Test
    void keepsSpareCapacityForAsLongAsAStartWouldCost() {
        serveDemand(64);
        pool.demandIs(16, 0);
        pool.runSeconds(55);
        assertThat(pool.leaving, is(empty()));
        pool.demandIs(64, 0);
        pool.runSeconds(10);
        assertThat(pool.received.size(), equalTo(12));
    }

    @Test
    void neverUsesTheNameOfAnUpstreamAgain() {
        serveDemand(64);
        pool.demandIs(0, 0);
        pool.runSeconds(200);
        serveDemand(64);
        List<UpstreamId> names =
                pool.received.stream()
                        .filter(order -> order.action() == UpstreamCommand.Action.START)
                        .map(UpstreamCommand::upstream)
                        .toList();
        assertThat(new HashSet<>(names).size(), equalTo(names.size()));
        assertThat(names.size(), greaterThan(12));
    }

    @Test
    void publishesEveryUpstreamThatThePlatformTakesAway() {
        serveDemand(64);
        UpstreamId[] gone = pool.upstreams.keySet().stream().limit(2).toArray(UpstreamId[]::new);
        pool.setState(gone[0], State.LEAVING);
        pool.setState(gone[1], State.STOPPED);
        pool.runSeconds(2);
        assertThat(pool.leaving, hasItems(gone));
    }

    private List<UpstreamId> stops() {
        return pool.received.stream()
                .filter(order -> order.action() == UpstreamCommand.Action.STOP)
                .map(UpstreamCommand::upstream)
                .toList();
    }
}
