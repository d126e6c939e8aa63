package org.fuchsialever.decisions.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Trainers of two large and six small teams, each of which submits its next step when it has nine
 * tenths of the groups of the last one or has given up, before one pool. Times are in hundredths of
 * a second.
 */
class StepLoadTest {
    private static final int PERIOD = 400;
    private static final int DUE = 750;
    private static final int GIVE_UP = 1_200;
    private static final int END = 60_000;
    private static final int ITEMS_PER_GROUP = 8;
    private static final int[] GROUPS = {20, 20, 5, 5, 5, 5, 5, 5};

    @Test
    void hasMoreGroupsInTimeOnAShortPool() {
        for (int slots : new int[] {40, 56, 72}) {
            double byNeed = play(true, slots).groupsInTime();
            double byDueTime = play(false, slots).groupsInTime();
            assertThat("with " + slots, byNeed, is(greaterThan(byDueTime)));
        }
    }

    @Test
    void losesNothingUnderModerateLoad() {
        for (int slots : new int[] {140, 200}) {
            double byNeed = play(true, slots).groupsInTime();
            double byDueTime = play(false, slots).groupsInTime();
            assertThat("with " + slots, byNeed, is(greaterThanOrEqualTo(byDueTime)));
        }
    }

    @Test
    void servesTheWorstServedTeamNoLess() {
        for (int slots : new int[] {40, 56, 72}) {
            double byNeed = play(true, slots).worstServed();
            double byDueTime = play(false, slots).worstServed();
            assertThat("with " + slots, byNeed, is(greaterThanOrEqualTo(byDueTime)));
        }
    }

    private static Play play(boolean fair, int slots) {
        Play play = new Play(fair, slots);
        for (int now = 0; now < END; now++) {
            play.tick(now);
        }
        return play;
    }

    private record Call(Step step, int item, QueuePlace place) {}

    private static final class Step {
        private final int mTeam;
        private final int mSubmitted;
        private final int mTarget;
        private final List<StepItem> mItems = new ArrayList<>();
        private final List<Integer> mLengths = new ArrayList<>();
        private final Map<String, Integer> mOpen = new HashMap<>();
        private final List<Call> mCalls = new ArrayList<>();
        private int mComplete;
        private int mInTime;

        Step(int team, int submitted, SplittableRandom random) {
            mTeam = team;
            mSubmitted = submitted;
            mTarget = (int) Math.ceil(0.9 * GROUPS[team] - 0.5);
            for (int item = 0; item < GROUPS[team] * ITEMS_PER_GROUP; item++) {
                int length = (int) Math.max(1, 60 * Math.exp(0.7 * random.nextGaussian()));
                long estimate = Math.round(length * Math.exp(0.35 * random.nextGaussian()));
                String group = "g" + item / ITEMS_PER_GROUP;
                mLengths.add(length);
                mItems.add(new StepItem(item, group, Math.max(1, estimate), false, false));
                mOpen.merge(group, 1, Integer::sum);
            }
        }

        void finish(int item, int now) {
            if (mOpen.merge(mItems.get(item).group(), -1, Integer::sum) == 0) {
                mComplete++;
                mInTime += mComplete <= mTarget && now <= mSubmitted + DUE ? 1 : 0;
            }
        }

        boolean isOver(int now) {
            return mComplete >= mTarget || now >= mSubmitted + GIVE_UP;
        }
    }

    private static final class Play {
        private final boolean mFair;
        private final int mSlots;
        private final SplittableRandom mRandom = new SplittableRandom(11);
        private final FairQueue<Call> mQueue = new FairQueue<>();
        private final TreeSet<Call> mByDueTime =
                new TreeSet<>(Comparator.comparing(Call::place, QueuePlace.BY_ORDER));
        private final PriorityQueue<long[]> mEnds =
                new PriorityQueue<>(Comparator.comparingLong(end -> end[0]));
        private final Map<Long, Call> mRunning = new HashMap<>();
        private final Step[] mSteps = new Step[GROUPS.length];
        private final int[] mNext = new int[GROUPS.length];
        private final double[] mInTime = new double[GROUPS.length];
        private final double[] mOwed = new double[GROUPS.length];
        private long mNumber;
        private double mRate;

        Play(boolean fair, int slots) {
            mFair = fair;
            mSlots = slots;
            mQueue.setSlots(slots);
            for (int team = 0; team < GROUPS.length; team++) {
                mNext[team] = team * PERIOD / GROUPS.length;
                mOwed[team] = 0.9 * GROUPS[team] * END / PERIOD;
            }
        }

        double groupsInTime() {
            double sum = 0;
            for (double groups : mInTime) {
                sum += groups;
            }
            return sum;
        }

        double worstServed() {
            double worst = 1;
            for (int team = 0; team < GROUPS.length; team++) {
                worst = Math.min(worst, mInTime[team] / mOwed[team]);
            }
            return worst;
        }

        void tick(int now) {
            mRate *= 1 - 1.0 / 300;
            while (!mEnds.isEmpty() && mEnds.peek()[0] <= now) {
                Call call = mRunning.remove(mEnds.remove()[1]);
                if (call != null) {
                    mRate += 1.0 / 300;
                    call.step.finish(call.item, now);
                }
            }
            for (int team = 0; team < GROUPS.length; team++) {
                Step step = mSteps[team];
                if (step != null && step.isOver(now)) {
                    end(step);
                    mSteps[team] = null;
                }
                if (mSteps[team] == null && now >= mNext[team]) {
                    mNext[team] = Math.max(now, mNext[team] + PERIOD);
                    submit(team, now);
                }
            }
            start(now);
        }

        private void submit(int team, int now) {
            Step step = new Step(team, now, mRandom.split());
            mSteps[team] = step;
            int open = step.mItems.size() + waiting() + mRunning.size();
            StepPressure pressure =
                    new StepPressure((double) open / mSlots, mRate == 0 ? 0 : open / mRate, DUE);
            StepOrder order = mFair ? StepOrder.NEEDED_FIRST : StepOrder.LONGEST_FIRST;
            int rank = 0;
            for (RankedItem item : order.order(step.mItems, step.mTarget, pressure)) {
                long due = 1_000L * (now + DUE + (item.spare() ? DUE : 0)) + rank++;
                double cost = 1.0 / step.mItems.size();
                QueuePlace place = new QueuePlace("t" + team, 0, 2, due, mNumber++, cost, "room");
                Call call = new Call(step, item.index(), place);
                step.mCalls.add(call);
                if (mFair) {
                    mQueue.add(call, place);
                } else {
                    mByDueTime.add(call);
                }
            }
        }

        private int waiting() {
            return mFair ? mQueue.size() : mByDueTime.size();
        }

        private void end(Step step) {
            mInTime[step.mTeam] += step.mInTime;
            mRunning.values().removeIf(call -> call.step == step);
            mByDueTime.removeIf(call -> call.step == step);
            step.mCalls.forEach(mQueue::remove);
        }

        private void start(int now) {
            Predicate<Call> start =
                    call -> {
                        if (mRunning.size() >= mSlots) {
                            return false;
                        }
                        mRunning.put(call.place.number(), call);
                        int length = call.step.mLengths.get(call.item);
                        mEnds.add(new long[] {now + length, call.place.number()});
                        return true;
                    };
            mQueue.drain(start);
            while (!mByDueTime.isEmpty() && start.test(mByDueTime.first())) {
                mByDueTime.pollFirst();
            }
        }
    }
}
