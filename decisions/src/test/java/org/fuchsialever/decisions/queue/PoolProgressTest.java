package org.fuchsialever.decisions.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PoolProgressTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final PoolProgress mProgress = new PoolProgress();

    @Test
    void countsTheOpenItemsOfAllSubmissions() {
        observe("a", "t", true, 0, 80, 0);
        observe("b", "t", true, 10, 30, 0);
        assertThat(mProgress.openItems(), is(110));
        observe("a", "t", true, 80, 0, SECOND);
        mProgress.remove("b");
        assertThat(mProgress.openItems(), is(0));
    }

    @Test
    void estimatesTheTimeToFinishFromTheResultsOfAllSubmissions() {
        observe("a", "t", true, 0, 1_000, 0);
        for (int second = 1; second <= 20; second++) {
            observe("a", "t", true, 20 * second, 1_000 - 20 * second, second * SECOND);
        }
        double expected = 600 / 20.0;
        assertThat(mProgress.secondsToFinish(20 * SECOND), is(closeTo(expected, expected / 4)));
    }

    @Test
    void knowsNoTimeBeforeTheFirstResultsAndAfterAPause() {
        observe("a", "t", true, 0, 100, 0);
        assertThat(mProgress.secondsToFinish(0), is(0.0));
        observe("a", "t", true, 50, 50, SECOND);
        assertThat(mProgress.secondsToFinish(40 * SECOND), is(0.0));
    }

    @Test
    void givesATeamOneShareHoweverManyInstancesRunItsSubmissions() {
        observe("a", "spread", true, 0, 30, 0);
        observe("b", "spread", false, 0, 70, 0);
        observe("c", "here", true, 0, 50, 0);
        observe("d", "elsewhere", false, 0, 50, 0);
        assertThat(mProgress.teamWeights(), is(Map.of("spread", 0.5)));
        mProgress.remove("b");
        assertThat(mProgress.teamWeights(), is(Map.of()));
    }

    private void observe(
            String id, String team, boolean own, int results, int openItems, long now) {
        mProgress.observe(id, new OpenWork(team, own, results, openItems), now);
    }
}
