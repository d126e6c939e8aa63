package org.fuchsialever.decisions.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A service that ends a hundred calls a second refuses many callers at once. */
class ReturnTimesTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long PLENTY = 60_000 * MILLI;

    private final ReturnTimes mReturns = new ReturnTimes(new SplittableRandom(1));

    @Test
    void spreadsTheReturnAtTheRateOfTheService() {
        List<Long> hints = refuse(80, PLENTY);
        for (int from = 100; from < 800; from += 100) {
            long begin = from;
            long arriving =
                    hints.stream().filter(hint -> hint >= begin && hint < begin + 100).count();
            assertThat("from " + from, arriving, is(lessThanOrEqualTo(13L)));
        }
    }

    @Test
    void staysWithinTheHorizonHoweverManyAreRefused() {
        List<Long> hints = refuse(2_000, PLENTY);
        assertThat(
                hints.stream().mapToLong(hint -> hint).max().orElse(0), lessThanOrEqualTo(1_000L));
        long early = hints.stream().filter(hint -> hint < 500).count();
        assertThat(early, is(greaterThan(400L)));
    }

    @Test
    void letsThoseReturnFirstWhoseTimeEndsFirst() {
        List<Long> patient = refuse(60, PLENTY);
        List<Long> urgent = refuse(60, 300 * MILLI);
        double late = patient.subList(20, 60).stream().mapToLong(hint -> hint).average().orElse(0);
        double early = urgent.stream().mapToLong(hint -> hint).average().orElse(0);
        assertThat(early, is(lessThan(late)));
        assertThat(
                urgent.stream().mapToLong(hint -> hint).max().orElse(0), lessThanOrEqualTo(100L));
    }

    @Test
    void waitsForTheReturnOfALostUpstream() {
        long hint = mReturns.nextMillis(100, 400 * MILLI, PLENTY, 0);
        assertThat(hint, is(greaterThanOrEqualTo(400L)));
    }

    @Test
    void expectsAWaitOfOnePlaceForEachCallAhead() {
        PoolRate rate = new PoolRate();
        assertThat(rate.waitNanos(50, 0), is(0L));
        for (int call = 1; call <= 500; call++) {
            rate.noteEnd(call * 10 * MILLI);
        }
        assertThat(rate.perSecond(5_000 * MILLI), is(closeTo(100, 5)));
        assertThat((double) rate.waitNanos(9, 5_000 * MILLI) / MILLI, is(closeTo(100, 10)));
    }

    private List<Long> refuse(int calls, long left) {
        List<Long> hints = new ArrayList<>();
        for (int call = 0; call < calls; call++) {
            hints.add(mReturns.nextMillis(100, 0, left, 0));
        }
        return hints;
    }
}
