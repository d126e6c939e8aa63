package org.fuchsialever.decisions.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.domain.DomainCost;
import org.fuchsialever.decisions.domain.DomainPolicy;
import org.fuchsialever.decisions.domain.DomainSpill;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.fuchsialever.decisions.queue.Queueing;
import org.junit.jupiter.api.Test;

/** Checks that the failure domain orders the choice of upstreams and gives way to all else. */
class DomainChoiceTest {
    private static final long MILLI = ForwardDutyFixture.MILLI;
    private static final Option<Double> AS_USUAL = Option.some(1.0);

    private final List<ForwardAction> mActions = new ArrayList<>();
    private long mNow;
    private long mNumber;

    @Test
    void liveCallsStayAtHomeOnceUpstreamsReportTheirSlowdown() {
        ForwardDuty duty = duty(DomainPolicy.AUTO);
        fleet(duty, true);
        List<String> domains = play(duty, 100, AS_USUAL);
        assertEquals(100, domains.size());
        // Nothing is reported before the first response.
        assertTrue(domains.subList(1, 100).stream().allMatch("a"::equals));
    }

    @Test
    void upstreamsWithThreeFiguresAreChosenAsWithoutDomains() {
        ForwardDuty auto = duty(DomainPolicy.AUTO);
        ForwardDuty off = duty(DomainPolicy.OFF);
        fleet(auto, true);
        fleet(off, true);
        assertEquals(upstreams(off, Option.none()), upstreams(auto, Option.none()));
    }

    @Test
    void aPolicyOfOffLeavesTheChoiceToTheCompletionTime() {
        ForwardDuty duty = duty(DomainPolicy.OFF);
        fleet(duty, true);
        assertTrue(play(duty, 100, AS_USUAL).contains("b"));
    }

    @Test
    void callsLeaveAtOnceWhenNoUpstreamAtHomeServes() {
        ForwardDuty duty = duty(DomainPolicy.AUTO);
        fleet(duty, true);
        play(duty, 10, AS_USUAL);
        fleet(duty, false);
        mActions.clear();

        assertTrue(play(duty, 20, AS_USUAL).stream().allMatch("b"::equals));
        assertTrue(mActions.stream().noneMatch(ForwardAction.Refuse.class::isInstance));
        assertTrue(
                mActions.stream()
                        .filter(ForwardAction.NoteDomainShare.class::isInstance)
                        .map(action -> ((ForwardAction.NoteDomainShare) action).change())
                        .anyMatch(change -> change.isLeaving() && change.after() == 1));
    }

    @Test
    void aRetryLeavesWhenEveryUpstreamAtHomeWasTried() {
        ForwardDuty duty = duty(DomainPolicy.AUTO);
        fleet(duty, true);
        play(duty, 10, AS_USUAL);
        mActions.clear();

        duty.onEvent(
                new ForwardEvent.Arrived(ForwardDutyFixture.live(1_000, true, 4)),
                mNow,
                mActions::add);
        for (int attempt = 1; attempt < 3; attempt++) {
            AttemptReport report = AttemptReport.of(AttemptOutcome.NOT_CONNECTED);
            duty.onEvent(
                    new ForwardEvent.AttemptEnded(1_000, attempt, report), mNow, mActions::add);
        }

        List<ForwardAction.Start> starts = starts();
        assertEquals("a", starts.get(0).upstream().failureDomain());
        assertEquals("a", starts.get(1).upstream().failureDomain());
        assertEquals("b", starts.get(2).upstream().failureDomain());
    }

    @Test
    void aMuchLongerWaitAtHomeIsNotWorthStayingForBeforeTheShareFollows() {
        ForwardDuty duty = duty(DomainPolicy.AUTO);
        fleet(duty, true);
        play(duty, 10, AS_USUAL);
        mActions.clear();
        // Ten slots' worth of work ahead of each upstream at home.
        for (int number = 2_000; number < 2_060; number++) {
            duty.onEvent(
                    new ForwardEvent.Arrived(ForwardDutyFixture.live(number, true, 1)),
                    mNow,
                    mActions::add);
        }
        assertNotEquals(
                60,
                starts().stream().filter(s -> s.upstream().failureDomain().equals("a")).count());
    }

    private List<String> upstreams(ForwardDuty duty, Option<Double> slowdown) {
        mActions.clear();
        mNow = 0;
        play(duty, 60, slowdown);
        return starts().stream().map(start -> start.upstream().id()).toList();
    }

    /** Plays calls of 50 ms one after the other and returns the domains that they ran in. */
    private List<String> play(ForwardDuty duty, int calls, Option<Double> slowdown) {
        List<String> domains = new ArrayList<>();
        for (int call = 0; call < calls; call++) {
            long number = ++mNumber;
            duty.onEvent(
                    new ForwardEvent.Arrived(ForwardDutyFixture.live(number, true, 1)),
                    mNow,
                    mActions::add);
            domains.add(starts().get(starts().size() - 1).upstream().failureDomain());
            mNow += 50 * MILLI;
            duty.onEvent(
                    new ForwardEvent.AttemptEnded(number, 1, answered(slowdown)),
                    mNow,
                    mActions::add);
        }
        return domains;
    }

    private List<ForwardAction.Start> starts() {
        return mActions.stream()
                .filter(ForwardAction.Start.class::isInstance)
                .map(ForwardAction.Start.class::cast)
                .toList();
    }

    private static AttemptReport answered(Option<Double> slowdown) {
        return new AttemptReport(
                AttemptOutcome.ANSWERED, Option.some(new LoadHint(1, 0, 6, slowdown)), 0);
    }

    private static ForwardDuty duty(DomainPolicy policy) {
        DomainCost cost = new DomainCost(2 * MILLI, 100);
        return new ForwardDuty(
                new SplittableRandom(1),
                UpstreamBalancing.AUTO,
                Queueing.AUTO,
                0,
                new DomainSpill("a", policy, cost, new SplittableRandom(2)));
    }

    private void fleet(ForwardDuty duty, boolean homeServes) {
        duty.onEvent(
                new ForwardEvent.FleetChanged(
                        List.of(
                                upstream("a1", "a", homeServes),
                                upstream("a2", "a", homeServes),
                                upstream("b1", "b", true),
                                upstream("b2", "b", true))),
                mNow,
                mActions::add);
    }

    private static FleetUpstream upstream(String id, String domain, boolean serving) {
        return new FleetUpstream(id, "plain", "10.0.0.1", 80, domain, 6, serving, Map.of(), 1);
    }
}
