package org.fuchsialever.decisions.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.junit.jupiter.api.Test;

/** Steps of three trainers on engines of which every third takes 2.4 times as long as others. */
class UnevenEnginesTest {
    private static final int ENGINES = 24;
    private static final double EVENT_MILLIS = 41;
    private static final int TOKENS_PER_EVENT = 62;
    private static final int FAST_ENGINE = 0;
    private static final double MAX_MILLIS = 7_500;
    private static final int GROUP_SIZE = 16;
    private static final int[] GROUPS = {12, 13, 6};
    private static final long STEP_INTERVAL_MILLIS = 4_000;
    private static final int STEPS = 4;
    private static final double WANTED_SHARE = 0.9;

    private long mLastNumber;

    @Test
    void completesNineTenthsOfTheGroupsEarlierThanByLoadAlone() {
        double byLoad = 0;
        double byCompletion = 0;
        for (long seed = 1; seed <= 3; seed++) {
            byLoad += meanMillis(seed, UpstreamBalancing.LOAD);
            byCompletion += meanMillis(seed, UpstreamBalancing.AUTO);
        }
        assertThat(byCompletion, is(lessThan(byLoad)));
    }

    @Test
    void endsEachItemThoughTheFastestEngineIsLostHalfway() {
        PoolModel pool = pool(1, UpstreamBalancing.AUTO);
        Step first = submit(pool, new Random(1), 0);
        pool.runUntil(1_000);
        pool.lose(FAST_ENGINE);
        int before = pool.mStarts.size();
        Step second = submit(pool, new Random(2), 1);
        pool.runUntil(30_000);
        assertThat(
                pool.mStarts.subList(before, pool.mStarts.size()), everyItem(is(not(FAST_ENGINE))));
        assertThat(pool.mEndMillis.keySet(), hasSize((int) mLastNumber));
        assertThat(first.wholeMillis(pool), is(lessThan(MAX_MILLIS)));
        assertThat(second.wholeMillis(pool), is(lessThan(MAX_MILLIS)));
    }

    private double meanMillis(long seed, UpstreamBalancing balancing) {
        PoolModel pool = pool(seed, balancing);
        Random random = new Random(seed);
        List<Step> steps = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            for (int owner = 0; owner < GROUPS.length; owner++) {
                pool.runUntil(step * STEP_INTERVAL_MILLIS + owner * 700L);
                steps.add(submit(pool, random, owner));
            }
        }
        pool.runUntil(STEPS * STEP_INTERVAL_MILLIS + 30_000);
        return steps.stream().mapToDouble(step -> step.wholeMillis(pool)).average().orElseThrow();
    }

    private static PoolModel pool(long seed, UpstreamBalancing balancing) {
        double[] speeds = new double[ENGINES];
        for (int engine = 0; engine < ENGINES; engine++) {
            speeds[engine] = engine % 3 == 2 ? 1.7 : 0.7;
        }
        return new PoolModel(seed, GROUPS.length, balancing, EVENT_MILLIS, speeds);
    }

    /** Submits a step whose longest items come first by their estimates. */
    private Step submit(PoolModel pool, Random random, int owner) {
        long[][] groups = new long[GROUPS[owner]][];
        List<Item> items = new ArrayList<>();
        for (int group = 0; group < groups.length; group++) {
            groups[group] = LongStream.generate(() -> ++mLastNumber).limit(GROUP_SIZE).toArray();
            for (long number : groups[group]) {
                double events = events(random);
                double error = Math.exp(0.5 * random.nextGaussian());
                items.add(new Item(number, events, (long) (events * TOKENS_PER_EVENT * error)));
            }
        }
        items.sort(Comparator.comparingLong(Item::hint).reversed());
        long median = items.get(items.size() / 2).hint();
        Step step = new Step(pool.millis(), groups);
        for (Item item : items) {
            boolean isLong = item.hint() > 2 * median;
            pool.submit(owner, item.number(), item.events(), item.hint(), isLong);
        }
        return step;
    }

    private static double events(Random random) {
        double events = 12.5 * Math.exp(0.9 * random.nextGaussian());
        events *= random.nextDouble() < 0.08 ? 5 : 1;
        return Math.max(1, Math.min(events, 135));
    }

    private record Item(long number, double events, long hint) {}

    private record Step(long startMillis, long[][] groups) {
        /** Returns the time until as many groups are whole as a trainer waits for. */
        double wholeMillis(PoolModel pool) {
            long[] ends =
                    Arrays.stream(groups)
                            .mapToLong(
                                    group ->
                                            Arrays.stream(group)
                                                    .map(pool::endMillis)
                                                    .max()
                                                    .orElseThrow())
                            .sorted()
                            .toArray();
            return ends[(int) Math.ceil(ends.length * WANTED_SHARE) - 1] - startMillis;
        }
    }
}
