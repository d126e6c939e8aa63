package org.fuchsialever.decisions.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PoolProgressTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final PoolProgress mProgress = new PoolProgress();

    @Test
    void countsTheOpenItemsOfAllSubmissions() {
        mProgress.observe("a", 0, 80, 0);
        mProgress.observe("b", 10, 30, 0);
        assertThat(mProgress.openItems(), is(110));
        mProgress.observe("a", 80, 0, SECOND);
        mProgress.remove("b");
        assertThat(mProgress.openItems(), is(0));
    }

    @Test
    void estimatesTheTimeToFinishFromTheResultsOfAllSubmissions() {
        mProgress.observe("a", 0, 1_000, 0);
        for (int second = 1; second <= 20; second++) {
            mProgress.observe("a", 20 * second, 1_000 - 20 * second, second * SECOND);
        }
        double expected = 600 / 20.0;
        assertThat(mProgress.secondsToFinish(20 * SECOND), is(closeTo(expected, expected / 4)));
    }

    @Test
    void knowsNoTimeBeforeTheFirstResultsAndAfterAPause() {
        mProgress.observe("a", 0, 100, 0);
        assertThat(mProgress.secondsToFinish(0), is(0.0));
        mProgress.observe("a", 50, 50, SECOND);
        assertThat(mProgress.secondsToFinish(40 * SECOND), is(0.0));
    }
}
