package org.fuchsialever.decisions.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CompletionTimeTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long WORK = 1_000 * MILLI;
    private static final int SLOTS = 2;

    private final Fleet mFleet = new Fleet(new SplittableRandom(1));

    CompletionTimeTest() {
        mFleet.update(List.of(upstream("a", 1), upstream("b", 1), upstream("c", 1)));
    }

    @Test
    void addsTheWaitForASlotOnceAllAreTaken() {
        long idle = nanos("a", WORK, 0);
        state("a").callStarted(0);
        assertThat(nanos("a", WORK, 0) - idle, is(lessThan(100 * MILLI)));
        state("a").callStarted(0);
        assertThat(nanos("a", WORK, 0) - idle, is(greaterThan(150 * MILLI)));
    }

    @Test
    void countsAnUnknownSpeedAsTheMedian() {
        measure("a", 30);
        measure("b", 70);
        assertThat(nanos("c", WORK, 0), is(WORK));
        assertThat(ratio("b", "a"), is(closeTo(70.0 / 30, 0.5)));
    }

    @Test
    void forgetsTheSpeedOfAnUpstreamThatHasStartedAgain() {
        measure("a", 30);
        measure("b", 70);
        mFleet.update(List.of(upstream("a", 1), upstream("b", 2), upstream("c", 1)));
        assertThat(ratio("b", "a"), is(closeTo(1, 0.01)));
    }

    @Test
    void triesASlowUpstreamAgainOnceItsMeasurementIsOld() {
        measure("a", 30);
        measure("b", 70);
        assertThat(nanos("b", WORK, 120_000) - nanos("a", WORK, 120_000), is(lessThan(WORK / 100)));
    }

    @Test
    void weighsASlowdownByItsAge() {
        report("a", 1, 2.5, 0);
        assertThat(nanos("a", 100 * MILLI, 0), is(greaterThan(240 * MILLI)));
        assertThat(nanos("a", 100 * MILLI, 300), is(lessThan(200 * MILLI)));
        assertThat(nanos("a", 100 * MILLI, 1_500), is(lessThan(105 * MILLI)));
    }

    /** A slowdown passes, so that it decides about short calls but hardly about long ones. */
    @Test
    void addsAtMostTheLengthOfASlowdownToALongCall() {
        report("a", 1, 2.5, 0);
        assertThat(nanos("a", 5 * WORK, 0), is(lessThan(5 * WORK + WORK / 2)));
    }

    @Test
    void countsCallsOfOthersLessTheOlderTheirReportIs() {
        report("a", 7, 1, 0);
        assertThat(load("a", 0), is(closeTo(6, 0.01)));
        assertThat(load("a", 250), is(closeTo(6 / Math.E, 0.1)));
        assertThat(load("a", 5_000), is(closeTo(0, 0.01)));
    }

    @Test
    void countsOwnCallsSinceTheReportInFull() {
        report("a", 3, 1, 0);
        state("a").callStarted(0);
        assertThat(load("a", 0), is(closeTo(3, 0.01)));
    }

    @Test
    void avoidsASlowedUpstreamWhileTheReportIsFreshAndUsesItAgainLater() {
        report("a", 1, 2.5, 0);
        assertThat(choices("a", 50), is(0L));
        assertThat(choices("a", 2_000), is(greaterThan(20L)));
    }

    @Test
    void prefersAnUpstreamWithTheCachedPromptAmongNearEqualOnesOnly() {
        assertThat(chosen("b", 0).upstream().spec().id(), is("b"));
        assertThat(chosen("b", 0).basis(), is(ChoiceBasis.CACHED_PROMPT));
        report("b", 7, 1, 0);
        assertThat(chosen("b", 0).upstream().spec().id().equals("b"), is(false));
    }

    @Test
    void prefersAnOpenConnectionOfTwoEquals() {
        state("a").callStarted(0);
        state("a").callEnded(Option.none(), false, false, 0);
        // One of two random upstreams of three is the used one in two of three choices.
        assertThat((double) choices("a", 1_000), is(closeTo(200, 30)));
    }

    private long choices(String id, long millis) {
        return IntStream.range(0, 300)
                .filter(i -> chosen("", millis).upstream().spec().id().equals(id))
                .count();
    }

    private ChosenUpstream chosen(String preferred, long millis) {
        CompletionTime completion = mFleet.completionTime("s", millis * MILLI);
        return mFleet.chooseEarliest(
                        "s",
                        upstream -> true,
                        3,
                        upstream -> completion.nanos(upstream, 100 * MILLI, false),
                        preferred,
                        millis * MILLI)
                .get();
    }

    private long nanos(String id, long work, long millis) {
        return mFleet.completionTime("s", millis * MILLI).nanos(state(id), work, false);
    }

    private double load(String id, long millis) {
        return mFleet.completionTime("s", millis * MILLI).load(state(id));
    }

    private double ratio(String slow, String fast) {
        return (double) nanos(slow, WORK, 0) / nanos(fast, WORK, 0);
    }

    private void measure(String id, long paceMillis) {
        for (int i = 0; i < 4; i++) {
            state(id).observeStreamPace(paceMillis * MILLI, 0);
        }
    }

    private void report(String id, int running, double slowdown, long millis) {
        state(id).callStarted(millis * MILLI);
        LoadHint hint = new LoadHint(running, 0, SLOTS, Option.some(slowdown));
        state(id).observeReport(hint, millis * MILLI);
        state(id).callEnded(Option.none(), false, false, millis * MILLI);
    }

    private UpstreamState state(String id) {
        return mFleet.byId(id).get();
    }

    private static FleetUpstream upstream(String id, long started) {
        return new FleetUpstream(id, "s", "10.0.0.1", 80, "z", SLOTS, true, Map.of(), started);
    }
}
