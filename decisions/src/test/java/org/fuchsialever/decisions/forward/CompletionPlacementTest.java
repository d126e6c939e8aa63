package org.fuchsialever.decisions.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Option;
import java.util.List;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.fleet.ChoiceBasis;
import org.fuchsialever.decisions.fleet.ChoiceSurcharge;
import org.fuchsialever.decisions.fleet.Fleet;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.kernel.duty.Duty;
import org.junit.jupiter.api.Test;

class CompletionPlacementTest extends ForwardDutyFixture {
    private static final long TOKENS = 100;
    private static final long FAST_MILLIS = 30;
    private static final long SLOW_MILLIS = 72;
    private static final long FIRST_ITEMS_MILLIS = 1_000;
    private static final long BEGIN_MILLIS = 1_200;

    private long mNowMillis;

    @Test
    void sendsALongItemToTheFastEngine() {
        String fast = measureSpeeds();
        arrive(item(3, 10 * TOKENS));
        assertThat(lastStart().upstream().id(), is(fast));
        assertThat(lastStart().basis(), is(ChoiceBasis.EARLIEST));
        assertThat(lastStart().expectedNanos(), is(greaterThan(5_000 * MILLI)));
    }

    @Test
    void movesALongItemOnceTheFastEngineHasAFreeSlot() {
        String fast = measureSpeeds();
        startOnSlowEngine(10 * TOKENS);
        progress(5, 1, SLOW_MILLIS, BEGIN_MILLIS + 500);
        assertThat(cancellations(), hasSize(0));
        end(3, 1, AttemptOutcome.REJECTED);
        progress(5, 1, SLOW_MILLIS, BEGIN_MILLIS + 1_000);
        assertThat(cancellations(), hasSize(1));
        assertThat(lastStart().upstream().id(), is(fast));
        assertThat(lastStart().reason(), is(ForwardAction.StartReason.MOVE));
    }

    @Test
    void movesNoItemThatIsExpectedToEndSoon() {
        measureSpeeds();
        startOnSlowEngine(TOKENS / 2);
        end(3, 1, AttemptOutcome.REJECTED);
        progress(5, 1, SLOW_MILLIS, BEGIN_MILLIS + 500);
        assertThat(cancellations(), hasSize(0));
    }

    @Test
    void movesNoItemBackAndForth() {
        measureSpeeds();
        startOnSlowEngine(10 * TOKENS);
        end(3, 1, AttemptOutcome.REJECTED);
        for (int millis = 500; millis <= 5_000; millis += 500) {
            int attempt = cancellations().size() + 1;
            progress(5, attempt, attempt == 1 ? SLOW_MILLIS : FAST_MILLIS, BEGIN_MILLIS + millis);
        }
        assertThat(cancellations(), hasSize(1));
    }

    @Test
    void goesByLoadUntilASlowdownIsReported() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(item(1, TOKENS));
        event(new ForwardEvent.LoadReported(1, 1, new LoadHint(1, 0, 2, Option.none())));
        arrive(item(2, TOKENS));
        assertThat(lastStart().basis(), is(ChoiceBasis.LEAST_LOAD));
        event(new ForwardEvent.LoadReported(2, 1, new LoadHint(1, 0, 2, Option.some(1.0))));
        arrive(item(3, TOKENS));
        assertThat(lastStart().basis(), is(not(ChoiceBasis.LEAST_LOAD)));
    }

    /**
     * The load of a stream was known only at its end, when most of the calls it counts are over.
     */
    @Test
    void avoidsAnUpstreamThatReportsAFullLoadAtTheBeginningOfAStream() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(item(1, TOKENS));
        String full = lastStart().upstream().id();
        event(new ForwardEvent.LoadReported(1, 1, new LoadHint(2, 3, 2, Option.some(1.0))));
        arrive(item(2, TOKENS));
        assertThat(lastStart().upstream().id(), is(not(full)));
    }

    @Test
    void addsTheSurchargeOfAnUpstreamToItsExpectedTime() {
        assertThat(chosenWithSurchargeOnA(UpstreamBalancing.COMPLETION), is("b"));
    }

    @Test
    void leavesTheSurchargeOutWhileItGoesByLoad() {
        assertThat(chosenWithSurchargeOnA(UpstreamBalancing.LOAD), is("a"));
    }

    /** Returns the choice between two upstreams of which the one used last has a surcharge. */
    private static String chosenWithSurchargeOnA(UpstreamBalancing balancing) {
        Fleet fleet = new Fleet(new SplittableRandom(1));
        fleet.update(List.of(plain("a"), plain("b")));
        fleet.byId("a").get().callStarted(0);
        fleet.byId("a").get().callEnded(Option.none(), false, false, 0);
        ChoiceSurcharge surcharge =
                (upstream, now) -> upstream.spec().id().equals("a") ? 100 * MILLI : 0;
        UpstreamChoice choice = new UpstreamChoice(fleet, balancing, LEAVING_NANOS, surcharge);
        ForwardCallState state = new ForwardCallState(live(1, true, 1), "plain");
        return choice.next(state, 0).get().upstream().spec().id();
    }

    /** Starts three items, of which the last finds no free slot at the fast engine. */
    private void startOnSlowEngine(long tokens) {
        arrive(item(3, 10 * TOKENS));
        arrive(item(4, 10 * TOKENS));
        arrive(item(5, tokens));
    }

    /** Runs an item on each of two engines and returns the name of the faster one. */
    private String measureSpeeds() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(item(1, TOKENS));
        arrive(item(2, TOKENS));
        String fast = starts().get(0).upstream().id();
        assertThat(starts().get(1).upstream().id(), is(not(fast)));
        LoadHint hint = new LoadHint(1, 0, 2, Option.some(1.0));
        for (int number = 1; number <= 2; number++) {
            long pace = (number == 1 ? FAST_MILLIS : SLOW_MILLIS) * MILLI;
            event(new ForwardEvent.LoadReported(number, 1, hint));
            event(new ForwardEvent.PaceMeasured(number, 1, pace));
        }
        mNowMillis = FIRST_ITEMS_MILLIS;
        end(1, 1, AttemptOutcome.ANSWERED);
        end(2, 1, AttemptOutcome.ANSWERED);
        mNowMillis = BEGIN_MILLIS;
        return fast;
    }

    @Override
    void event(ForwardEvent event) {
        mDuty.onEvent(event, mNowMillis * MILLI, mActions::add);
    }

    private static ForwardCall item(long number, long tokens) {
        return new ForwardCall(
                number,
                ForwardCallKind.ITEM,
                List.of(new ServiceShare("engines", 1)),
                true,
                3,
                "m",
                1,
                "",
                new CallTraits("", 0, tokens),
                number,
                tokens > 2 * TOKENS,
                0,
                Duty.NO_TIMER,
                Duty.NO_TIMER);
    }
}
