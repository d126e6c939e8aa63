package org.fuchsialever.decisions.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.version.VersionEvent.OrderResult;
import org.junit.jupiter.api.Test;

class VersionDutyTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final VersionDuty mDuty = new VersionDuty();
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

    private void order() {
        fleet(1);
        event(new VersionEvent.RoleAcquired(9));
        event(new VersionEvent.VersionAnnounced("m", 2));
        event(new VersionEvent.Reported("e", 4, Map.of("m", 1L), false));
    }

    private void fleet(long version) {
        event(
                new VersionEvent.FleetChanged(
                        Map.of("s", List.of("m")),
                        List.of(
                                new FleetUpstream(
                                        "e",
                                        "s",
                                        "10.0.0.1",
                                        80,
                                        "z",
                                        8,
                                        true,
                                        Map.of("m", version),
                                        1))));
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
