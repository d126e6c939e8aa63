package org.fuchsialever.decisions.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A trainer waits for nine of its ten groups, and the pool may have less room than items. */
class StepOrderTest {
    private static final int GROUPS = 10;
    private static final int TARGET = 9;
    private static final int ITEMS_PER_GROUP = 8;
    private static final long DUE = 750;
    private static final int STEPS = 200;
    private static final StepPressure SHORT = new StepPressure(10, 1, 2);
    private static final StepPressure LATE = new StepPressure(10, 2.1, 2);

    @Test
    void startsTheGroupsBeyondTheTargetLast() {
        List<StepItem> items =
                List.of(item(0, "a", 10), item(1, "b", 90), item(2, "c", 20), item(3, "d", 30));
        List<RankedItem> order = StepOrder.NEEDED_FIRST.order(items, 3, SHORT);
        assertThat(indexes(order), contains(3, 2, 0, 1));
        assertThat(order.get(3).spare(), is(true));
    }

    @Test
    void startsGroupsThatWereBegunBeforeOthers() {
        List<StepItem> items =
                List.of(
                        item(0, "a", 10),
                        new StepItem(1, "b", 20, false, true),
                        item(2, "b", 20),
                        new StepItem(3, "c", 20, true, false));
        assertThat(indexes(StepOrder.NEEDED_FIRST.order(items, 3, LATE)), contains(2, 3, 0));
    }

    @Test
    void completesOneGroupAfterTheOtherWhereTheStepIsLateAnyway() {
        List<StepItem> items =
                List.of(item(0, "a", 30), item(1, "a", 10), item(2, "b", 10), item(3, "b", 20));
        assertThat(indexes(StepOrder.NEEDED_FIRST.order(items, 2, SHORT)), contains(0, 3, 1, 2));
        assertThat(indexes(StepOrder.NEEDED_FIRST.order(items, 2, LATE)), contains(3, 2, 0, 1));
    }

    /** Guards against steps that make each other late when all of them are. */
    @Test
    void letsGroupsThatWouldBeLateYieldToLaterSteps() {
        List<StepItem> items = List.of(item(0, "a", 10), item(1, "b", 30), item(2, "c", 20));
        List<RankedItem> order = StepOrder.NEEDED_FIRST.order(items, 3, new StepPressure(10, 6, 2));
        assertThat(indexes(order), contains(0, 2, 1));
        assertThat(order.stream().map(RankedItem::spare).toList(), contains(false, true, true));
    }

    /** Groups that come back from an earlier step are counted whatever else is complete. */
    @Test
    void neverTakesAGroupOfTheFirstHalfForSpare() {
        List<StepItem> items =
                List.of(item(0, "a", 900), item(1, "b", 1), item(2, "c", 1), item(3, "d", 2));
        assertThat(
                StepOrder.NEEDED_FIRST.order(items, 3, SHORT).get(3), is(new RankedItem(3, true)));
    }

    @Test
    void scoresFirstWhatCompletesAGroup() {
        List<StepItem> items =
                List.of(item(0, "a", 1), item(1, "a", 1), item(2, "b", 1), item(3, "c", 1));
        StepGroups groups = new StepGroups(items, 2);
        assertThat(scoringRank(groups, "b"), is(100L));
        assertThat(scoringRank(groups, "c"), is(101L));
        assertThat(scoringRank(groups, "a"), is(152L));
        groups.finished(0);
        assertThat(scoringRank(groups, "a"), is(100L));
        assertThat(scoringRank(groups, "c"), is(152L));
    }

    @Test
    void keepsTheOrderOfTheScoringByDueTime() {
        StepGroups groups = new StepGroups(List.of(item(0, "a", 1)), 1);
        assertThat(StepOrder.LONGEST_FIRST.scoringRank(7, 100, 50, groups, "a"), is(7L));
    }

    @Test
    void completesTheTargetSoonerThanByLengthAloneOnAShortPool() {
        for (int slots : new int[] {8, 10, 16}) {
            Result byNeed = play(StepOrder.NEEDED_FIRST, slots);
            Result byLength = play(StepOrder.LONGEST_FIRST, slots);
            assertThat("with " + slots, byNeed.mTargetTime, lessThan(byLength.mTargetTime));
            assertThat(byNeed.mGroupsInTime, greaterThanOrEqualTo(byLength.mGroupsInTime));
        }
    }

    @Test
    void hasMoreGroupsInTimeWhereTheStepIsTooLarge() {
        for (int slots : new int[] {4, 6}) {
            Result byNeed = play(StepOrder.NEEDED_FIRST, slots);
            Result byLength = play(StepOrder.LONGEST_FIRST, slots);
            assertThat("with " + slots, byNeed.mGroupsInTime, greaterThan(byLength.mGroupsInTime));
            assertThat(byNeed.mTargetTime, lessThan(byLength.mTargetTime));
        }
    }

    @Test
    void losesNothingWhereThePoolHasRoom() {
        for (int slots : new int[] {24, 40, 80}) {
            Result byNeed = play(StepOrder.NEEDED_FIRST, slots);
            Result byLength = play(StepOrder.LONGEST_FIRST, slots);
            assertThat(byNeed.mTargetTime, is(byLength.mTargetTime));
            assertThat(byNeed.mGroupsInTime, is(byLength.mGroupsInTime));
        }
    }

    private static long scoringRank(StepGroups groups, String group) {
        return StepOrder.NEEDED_FIRST.scoringRank(7, 100, 50, groups, group);
    }

    private static List<Integer> indexes(List<RankedItem> order) {
        return order.stream().map(RankedItem::index).toList();
    }

    private static StepItem item(int index, String group, long expectedTokens) {
        return new StepItem(index, group, expectedTokens, false, false);
    }

    /** Runs steps on a number of slots; true lengths differ from the estimates by up to twice. */
    private static Result play(StepOrder order, int slots) {
        SplittableRandom random = new SplittableRandom(42);
        Result result = new Result();
        for (int step = 0; step < STEPS; step++) {
            List<StepItem> items = new ArrayList<>();
            List<Long> lengths = new ArrayList<>();
            for (int index = 0; index < GROUPS * ITEMS_PER_GROUP; index++) {
                long length = Math.round(60 * Math.exp(0.7 * random.nextGaussian()));
                lengths.add(Math.max(1, length));
                long estimate = Math.round(length * Math.exp(0.35 * random.nextGaussian()));
                items.add(item(index, "g" + index / ITEMS_PER_GROUP, Math.max(1, estimate)));
            }
            result.add(
                    completionTimes(
                            order.order(items, TARGET, pressure(lengths, slots)), lengths, slots));
        }
        return result;
    }

    private static StepPressure pressure(List<Long> lengths, int slots) {
        double work = lengths.stream().mapToLong(length -> length).sum();
        return new StepPressure((double) lengths.size() / slots, work / slots, DUE);
    }

    private static List<Long> completionTimes(
            List<RankedItem> order, List<Long> lengths, int slots) {
        PriorityQueue<Long> free = new PriorityQueue<>(Collections.nCopies(slots, 0L));
        Map<Integer, Long> ends = new HashMap<>();
        for (RankedItem next : order) {
            long end = free.remove() + lengths.get(next.index());
            free.add(end);
            ends.merge(next.index() / ITEMS_PER_GROUP, end, Math::max);
        }
        return ends.values().stream().sorted().toList();
    }

    private static final class Result {
        private long mTargetTime;
        private int mGroupsInTime;

        void add(List<Long> groupEnds) {
            mTargetTime += groupEnds.get(TARGET - 1);
            mGroupsInTime +=
                    (int) groupEnds.stream().limit(TARGET).filter(end -> end <= DUE).count();
        }
    }
}
