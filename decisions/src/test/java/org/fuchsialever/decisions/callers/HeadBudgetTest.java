package org.fuchsialever.decisions.callers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class HeadBudgetTest {
    /** What an instance has for heads on the heap of the deploy file. */
    private static final long BUDGET = 96L * 1_024 * 1_024 / 100 * 15;

    private static final int LIMIT_BYTES = 16_384;
    private static final long LARGEST = HeadCost.largest(LIMIT_BYTES);
    private static final long ORDINARY = HeadCost.of(20, 1_200);

    private final HeadBudget mBudget = new HeadBudget(BUDGET);

    @Test
    void countsAHeadOfTheShortestLinesAsTheMostExpensiveOfItsLength() {
        for (int lineBytes = 4; lineBytes <= LIMIT_BYTES; lineBytes *= 2) {
            long cost = HeadCost.of(LIMIT_BYTES / lineBytes, LIMIT_BYTES);
            assertThat(cost, is(lessThanOrEqualTo(LARGEST)));
        }
    }

    @Test
    void admitsSeveralOfTheLargestHeadsOfTheManifestAtOnce() {
        for (int n = 0; n < 4; n++) {
            assertThat(mBudget.admit(LARGEST), is(Option.some(HeadShare.LARGE)));
        }
    }

    @Test
    void admitsASingleHeadHoweverSmallTheBudgetIs() {
        assertThat(new HeadBudget(1).admit(LARGEST), is(Option.some(HeadShare.LARGE)));
    }

    /** Guards against ordinary requests that have no room beside expensive heads. */
    @Test
    void admitsHundredsOfOrdinaryHeadsWhileExpensiveOnesFillTheirShare() {
        fill(LARGEST);
        for (int n = 0; n < 500; n++) {
            assertThat(mBudget.admit(ORDINARY), is(Option.some(HeadShare.ORDINARY)));
        }
    }

    @Test
    void admitsOrdinaryHeadsToTheOtherShareWhileTheirOwnIsFull() {
        Option<HeadShare> share = mBudget.admit(ORDINARY);
        while (share.contains(HeadShare.ORDINARY)) {
            share = mBudget.admit(ORDINARY);
        }
        assertThat(share, is(Option.some(HeadShare.LARGE)));
    }

    @Test
    void admitsAgainWhatWasReleased() {
        fill(LARGEST);
        mBudget.release(HeadShare.LARGE, LARGEST);
        assertThat(mBudget.admit(LARGEST).isDefined(), is(true));
        assertThat(mBudget.admit(LARGEST).isDefined(), is(false));
    }

    @Test
    void staysWithinItsBytesWhateverComesAndGoes() {
        Random random = new Random(11);
        List<Long> admitted = new ArrayList<>();
        List<HeadShare> shares = new ArrayList<>();
        for (int step = 0; step < 20_000; step++) {
            if (random.nextInt(3) == 0 && !admitted.isEmpty()) {
                int left = random.nextInt(admitted.size());
                mBudget.release(shares.remove(left), admitted.remove(left));
            } else {
                long cost = HeadCost.of(random.nextInt(4_096), random.nextInt(LIMIT_BYTES));
                mBudget.admit(cost)
                        .forEach(
                                share -> {
                                    admitted.add(cost);
                                    shares.add(share);
                                });
            }
            long used = mBudget.usedBytes(HeadShare.ORDINARY) + mBudget.usedBytes(HeadShare.LARGE);
            assertThat(used, is(lessThanOrEqualTo(BUDGET)));
            assertThat(used, is(admitted.stream().mapToLong(Long::longValue).sum()));
        }
        assertThat(admitted.size(), is(greaterThan(0)));
    }

    private void fill(long cost) {
        Option<HeadShare> share = mBudget.admit(cost);
        while (share.isDefined()) {
            share = mBudget.admit(cost);
        }
    }
}
