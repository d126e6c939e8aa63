package org.fuchsialever.decisions.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.version.VersionEvent.OrderResult;
import org.junit.jupiter.api.Test;

class VersionDutyTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final VersionDuty mDuty = new VersionDuty(EngineAssignment.AUTO);
    private final List<VersionAction> mActions = new ArrayList<>();
    private long mNow;

    @Test
    void ordersNothingWithoutTheRole() {
        fleet(1);
        event(new VersionEvent.VersionAnnounced("m", 2));
        assertThat(mActions, is(empty()));
    }

    @Test
    void namesTheAcceptedOrdersSoThatALateOrderCannotUndoANewerOne() {
        order();
        VersionAction.SendOrder sent = orders().get(0);
        assertThat(sent.sequence(), is(4L));
        assertThat(sent.fencing(), is(9L));
        assertThat(sent.order().version(), is(2L));
    }

    @Test
    void ordersAgainUnderTheNewNumberWhenAnUnansweredOrderHadNoEffect() {
        order();
        event(new VersionEvent.OrderEnded("e", OrderResult.MAY_BE_LOADING));
        advance(SECOND);
        event(new VersionEvent.Reported("e", 4, Map.of("m", 1L), false));
        advance(SECOND);
        event(new VersionEvent.Reported("e", 5, Map.of("m", 1L), false));
        assertThat(orders(), hasSize(2));
        assertThat(orders().get(1).sequence(), is(5L));
    }

    @Test
    void ordersNothingMoreWhenTheVersionIsLoaded() {
        order();
        event(new VersionEvent.OrderEnded("e", OrderResult.MAY_BE_LOADING));
        event(new VersionEvent.Reported("e", 5, Map.of("m", 2L), false));
        advance(10 * SECOND);
        assertThat(orders(), hasSize(1));
    }

    @Test
    void stopsActingOnceAHigherFencingNumberWasSeen() {
        order();
        event(new VersionEvent.OrderEnded("e", OrderResult.FENCED));
        event(new VersionEvent.VersionAnnounced("m", 3));
        advance(10 * SECOND);
        assertThat(orders(), hasSize(1));
    }

    /** Guards against needless loads, and against missing ones when a trainer needs them. */
    @Test
    void loadsTheOnlyUpstreamOnceItIsTooOldForSubmittedItems() {
        fleet(2);
        event(new VersionEvent.RoleAcquired(9));
        event(new VersionEvent.VersionAnnounced("m", 2));
        event(new VersionEvent.MinVersionRequested("m", 1));
        event(new VersionEvent.VersionAnnounced("m", 3));
        assertThat(mActions, is(empty()));
        event(new VersionEvent.MinVersionRequested("m", 2));
        event(new VersionEvent.VersionAnnounced("m", 4));
        assertThat(mActions, hasSize(1));
    }

    @Test
    void triesAnUpstreamAgainThatGaveNoReport() {
        fleet(1);
        event(new VersionEvent.RoleAcquired(9));
        event(new VersionEvent.VersionAnnounced("m", 2));
        event(new VersionEvent.ReportFailed("e"));
        advance(SECOND);
        assertThat(mActions, hasSize(2));
    }

    /** Guards against other shares in deployments whose upstreams report three figures of load. */
    @Test
    void keepsEqualSharesWhileNoUpstreamHasReportedASlowdown() {
        unevenDemand();
        assertThat(loads("m"), is(4));
        assertThat(loads("n"), is(4));
        assertThat(shares(), is(empty()));
    }

    @Test
    void sharesByNeedOnceAnUpstreamOfTheServiceHasReportedItsSlowdown() {
        event(new VersionEvent.SlowdownReported("s"));
        unevenDemand();
        assertThat(loads("n"), is(greaterThan(loads("m"))));
        VersionAction.NoteShares last = shares().get(shares().size() - 1);
        assertThat(last.shares().keySet(), is(Set.of("m", "n")));
        last.shares()
                .forEach(
                        (model, share) ->
                                assertThat(share.engines(), is(model.equals("n") ? 6 : 2)));
    }

    @Test
    void keepsEqualSharesWhenAnotherServiceHasReportedASlowdown() {
        event(new VersionEvent.SlowdownReported("other"));
        unevenDemand();
        assertThat(shares(), is(empty()));
    }

    @Test
    void keepsTheModelOfAnEngineThatBacksOffAmidALoad() {
        event(new VersionEvent.SlowdownReported("s"));
        unevenDemand();
        int noted = shares().size();
        event(new VersionEvent.VersionAnnounced("n", 3));
        VersionAction.ReadReport read =
                (VersionAction.ReadReport) mActions.get(mActions.size() - 1);
        int before = mActions.size();
        event(new VersionEvent.ReportFailed(read.upstream().id()));
        advance(10 * SECOND);
        assertThat(shares(), hasSize(noted));
        assertThat(mActions.subList(before, mActions.size()), hasItem(read));
    }

    @Test
    void forgetsTheSharesWithTheRole() {
        event(new VersionEvent.SlowdownReported("s"));
        unevenDemand();
        event(new VersionEvent.RoleLost());
        assertThat(
                mActions.get(mActions.size() - 1),
                is(instanceOf(VersionAction.ForgetShares.class)));
    }

    /** Eight engines; the trainer of n asks for four times as much as that of m. */
    private void unevenDemand() {
        List<FleetUpstream> engines = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            engines.add(engine("e" + i, Map.of("m", 1L, "n", 1L)));
        }
        event(new VersionEvent.FleetChanged(Map.of("s", List.of("m", "n")), engines));
        for (int step = 0; step < 5; step++) {
            event(
                    new VersionEvent.SubmissionsChanged(
                            List.of(
                                    new SubmissionLoad("m" + step, "m", 100, 8, 0, mNow),
                                    new SubmissionLoad("n" + step, "n", 400, 8, 0, mNow)),
                            List.of()));
            advance(4 * SECOND);
        }
        event(new VersionEvent.RoleAcquired(9));
        advance(10 * SECOND);
        for (String model : List.of("m", "n")) {
            event(new VersionEvent.VersionAnnounced(model, 2));
        }
        for (int i = 0; i < mActions.size(); i++) {
            answer(mActions.get(i));
        }
    }

    private void answer(VersionAction action) {
        if (action instanceof VersionAction.ReadReport read) {
            FleetUpstream upstream = read.upstream();
            event(new VersionEvent.Reported(upstream.id(), 4, upstream.versions(), false));
        } else if (action instanceof VersionAction.SendOrder sent) {
            event(new VersionEvent.OrderEnded(sent.order().upstream().id(), OrderResult.DONE));
        }
    }

    private int loads(String model) {
        return (int)
                orders().stream()
                        .filter(sent -> sent.order().model().equals(model))
                        .map(sent -> sent.order().upstream().id())
                        .distinct()
                        .count();
    }

    private List<VersionAction.NoteShares> shares() {
        return mActions.stream()
                .filter(VersionAction.NoteShares.class::isInstance)
                .map(VersionAction.NoteShares.class::cast)
                .toList();
    }

    private void order() {
        fleet(1);
        event(new VersionEvent.RoleAcquired(9));
        event(new VersionEvent.VersionAnnounced("m", 2));
        event(new VersionEvent.Reported("e", 4, Map.of("m", 1L), false));
    }

    private void fleet(long version) {
        event(
                new VersionEvent.FleetChanged(
                        Map.of("s", List.of("m")), List.of(engine("e", Map.of("m", version)))));
    }

    private static FleetUpstream engine(String id, Map<String, Long> versions) {
        return new FleetUpstream(id, "s", "10.0.0.1", 80, "z", 8, true, versions, 1);
    }

    private List<VersionAction.SendOrder> orders() {
        return mActions.stream()
                .filter(VersionAction.SendOrder.class::isInstance)
                .map(VersionAction.SendOrder.class::cast)
                .toList();
    }

    private void event(VersionEvent event) {
        mDuty.onEvent(event, mNow, mActions::add);
    }

    private void advance(long nanos) {
        long end = mNow + nanos;
        while (mDuty.nextTimerNanos() <= end) {
            mNow = Math.max(mNow, mDuty.nextTimerNanos());
            mDuty.onTimer(mNow, mActions::add);
        }
        mNow = end;
    }
}
