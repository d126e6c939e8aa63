package org.fuchsialever.decisions.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.Random;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.junit.jupiter.api.Test;

/** Rare live calls at many instances, and scoring calls in bursts at a few, on equal upstreams. */
class EqualUpstreamsTest {
    private static final int UPSTREAMS = 12;
    private static final int INSTANCES = 80;
    private static final int OWNERS = 3;
    private static final int BURST = 20;
    private static final double CALL_MILLIS = 200;
    private static final double LIVE_LENGTH = 0.12;
    private static final long INTERVAL_MILLIS = 1_000;
    private static final int LIVE_PER_INTERVAL = 8;
    private static final double TARGET = 1.5;

    private long mLastNumber;

    @Test
    void givesTheBusiestUpstreamAtMostHalfMoreThanTheMean() {
        for (long seed = 1; seed <= 3; seed++) {
            PoolModel pool = pool(seed, UpstreamBalancing.AUTO);
            play(pool, seed, 40);
            assertThat(pool.busiestToMean(0), is(lessThanOrEqualTo(TARGET)));
            assertThat(pool.mEndMillis.keySet(), hasSize((int) mLastNumber));
            mLastNumber = 0;
        }
    }

    @Test
    void spreadsCallsEvenlyAfterReportsHaveStopped() {
        PoolModel pool = pool(4, UpstreamBalancing.AUTO);
        play(pool, 4, 5);
        pool.setReports(PoolModel.Reports.NONE);
        int before = pool.mStarts.size();
        play(pool, 5, 30);
        assertThat(pool.busiestToMean(before), is(lessThanOrEqualTo(TARGET)));
        assertThat(pool.mEndMillis.keySet(), hasSize((int) mLastNumber));
    }

    /** Guards earlier deployments, whose upstreams do not report a slowdown. */
    @Test
    void choosesByLoadAsBeforeWhereNoSlowdownIsReported() {
        PoolModel byLoad = pool(6, UpstreamBalancing.LOAD);
        PoolModel auto = pool(6, UpstreamBalancing.AUTO);
        byLoad.setReports(PoolModel.Reports.WITHOUT_SLOWDOWN);
        auto.setReports(PoolModel.Reports.WITHOUT_SLOWDOWN);
        play(byLoad, 6, 10);
        mLastNumber = 0;
        play(auto, 6, 10);
        assertThat(auto.mStarts, is(byLoad.mStarts));
    }

    private static PoolModel pool(long seed, UpstreamBalancing balancing) {
        double[] speeds = new double[UPSTREAMS];
        Arrays.fill(speeds, 1);
        return new PoolModel(seed, INSTANCES, balancing, CALL_MILLIS, speeds);
    }

    private void play(PoolModel pool, long seed, int seconds) {
        Random random = new Random(seed);
        for (int second = 0; second < seconds; second++) {
            for (int owner = 0; owner < OWNERS; owner++) {
                for (int call = 0; call < BURST; call++) {
                    submit(pool, owner, ForwardCallKind.SCORE, 1, random);
                }
            }
            for (int call = 0; call < LIVE_PER_INTERVAL; call++) {
                int instance = random.nextInt(INSTANCES);
                submit(pool, instance, ForwardCallKind.LIVE, LIVE_LENGTH, random);
                pool.runUntil(pool.millis() + INTERVAL_MILLIS / LIVE_PER_INTERVAL);
            }
        }
        pool.runUntil(pool.millis() + 5_000);
    }

    private void submit(
            PoolModel pool, int instance, ForwardCallKind kind, double length, Random random) {
        double spread = Math.exp(0.5 * random.nextGaussian());
        pool.submit(instance, ++mLastNumber, kind, length * spread);
    }
}
