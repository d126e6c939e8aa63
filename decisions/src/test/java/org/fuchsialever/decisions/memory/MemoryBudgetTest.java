package org.fuchsialever.decisions.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.memory.BodyVerdict.Outcome;
import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
    /** Half of the heap that the deploy file gives an instance. */
    private static final long BUDGET = 48L * 1_024 * 1_024;

    private static final long LARGEST_BODY = 33_554_432;
    private static final long PRESSING_BODY = 400_000;
    private static final long PATIENCE = TimeUnit.MILLISECONDS.toNanos(800);
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final MemoryBudget mBudget = new MemoryBudget(BUDGET);

    @Test
    void admitsTheLargestBodyOfTheManifestOnACalmInstance() {
        assertThat(request(1, LARGEST_BODY, 0), is(Outcome.ADMITTED));
    }

    @Test
    void isTightOnceMoreThanHalfOfAShareIsTaken() {
        long half = BUDGET / 100 * 20 / 2;
        assertThat(mBudget.tryTake(MemoryShare.RESPONSE, half), is(true));
        assertThat(mBudget.isTight(MemoryShare.RESPONSE), is(false));
        assertThat(mBudget.tryTake(MemoryShare.RESPONSE, 1), is(true));
        assertThat(mBudget.isTight(MemoryShare.RESPONSE), is(true));
        assertThat(mBudget.isTight(MemoryShare.LARGE_BODY), is(false));
    }

    /** Guards against small calls that have no room beside large ones. */
    @Test
    void admitsSmallBodiesWhileALargeOneFillsItsShare() {
        request(1, LARGEST_BODY, 0);
        for (int i = 0; i < 100; i++) {
            assertThat(request(2 + i, MemoryShare.MAX_SMALL_BODY_BYTES, 0), is(Outcome.ADMITTED));
        }
        assertThat(mBudget.tryTake(MemoryShare.RESPONSE, 4 * 1_024 * 1_024), is(true));
    }

    @Test
    void letsSmallBodiesUseTheLargeShareWhenTheirOwnIsFull() {
        int count = 1_000;
        for (int i = 0; i < count; i++) {
            assertThat(request(i, MemoryShare.MAX_SMALL_BODY_BYTES, 0), is(Outcome.ADMITTED));
        }
        assertThat(mBudget.usedBytes(MemoryShare.LARGE_BODY), is(greaterThan(0L)));
    }

    @Test
    void saysThatABodyAboveItsShareNeverFits() {
        assertThat(request(1, BUDGET, 0), is(Outcome.NEVER_FITS));
        assertThat(mBudget.usedBytes(MemoryShare.LARGE_BODY), is(0L));
    }

    /** Guards against a large body that smaller ones overtake for ever. */
    @Test
    void admitsWaitingBodiesInTheirOrder() {
        request(1, LARGEST_BODY, 0);
        assertThat(request(2, LARGEST_BODY, 0), is(Outcome.WAITING));
        assertThat(request(3, PRESSING_BODY, 0), is(Outcome.WAITING));
        assertThat(mBudget.release(MemoryShare.LARGE_BODY, LARGEST_BODY, 0), contains(2L, 3L));
        assertThat(mBudget.waitingCount(), is(0));
    }

    @Test
    void admitsTheNextWhenTheFirstNoLongerWaits() {
        request(1, 20_000_000, 0);
        request(2, LARGEST_BODY, 0);
        request(3, PRESSING_BODY, 0);
        assertThat(mBudget.withdraw(2), contains(3L));
        assertThat(mBudget.withdraw(2), is(empty()));
        assertThat(mBudget.usedBytes(MemoryShare.LARGE_BODY), is(20_000_000 + PRESSING_BODY));
    }

    /** Guards against callers that are kept although their room can't come in time. */
    @Test
    void rejectsAtOnceWhatTheRateOfReturningRoomCannotServe() {
        request(1, LARGEST_BODY, 0);
        // 1 MB returns in 2 s, so 30 MB take far longer than a caller waits.
        mBudget.release(MemoryShare.LARGE_BODY, 1_000_000, 0);
        assertThat(request(2, 30_000_000, 0), is(Outcome.REJECTED));
    }

    @Test
    void namesTheTimeAfterWhichRoomHasReturned() {
        request(1, LARGEST_BODY, 0);
        mBudget.release(MemoryShare.LARGE_BODY, 8_000_000, 0);
        long free = MemoryShare.LARGE_BODY.limitBytes(BUDGET) - (LARGEST_BODY - 8_000_000);
        // 8 MB return in 2 s.
        assertThat(mBudget.retryAfterMillis(free + 4_000_000, 0), is(1_000L));
        assertThat(mBudget.retryAfterMillis(free + 8_000_000, 0), is(2_000L));
    }

    @Test
    void forgetsRoomThatReturnedLongAgo() {
        request(1, LARGEST_BODY, 0);
        mBudget.release(MemoryShare.LARGE_BODY, 1_000_000, 0);
        long later = TimeUnit.SECONDS.toNanos(2);
        assertThat(mBudget.request(2, 30_000_000, PATIENCE, later).outcome(), is(Outcome.WAITING));
    }

    @Test
    void refusesResponsesAboveTheirShare() {
        long limit = MemoryShare.RESPONSE.limitBytes(BUDGET);
        assertThat(mBudget.tryTake(MemoryShare.RESPONSE, limit), is(true));
        assertThat(mBudget.tryTake(MemoryShare.RESPONSE, 1), is(false));
        mBudget.release(MemoryShare.RESPONSE, 10, 0);
        assertThat(mBudget.tryTake(MemoryShare.RESPONSE, 10), is(true));
    }

    /**
     * Guards against bodies that are bounded one by one only: 400 of 400,000 bytes arrive in 4 s,
     * each is held for 4 s, and a calm small one arrives every 10 ms.
     */
    @Test
    void staysWithinTheBudgetAndServesSmallCallsUnderAPress() {
        Map<Long, Long> ends = new HashMap<>();
        Deque<Long> waiting = new ArrayDeque<>();
        int refused = 0;
        long ticket = 0;
        for (long now = 0; now < 12_000 * MILLI; now += 10 * MILLI) {
            for (Map.Entry<Long, Long> end : Map.copyOf(ends).entrySet()) {
                if (end.getValue() <= now) {
                    ends.remove(end.getKey());
                    for (long next : mBudget.release(MemoryShare.LARGE_BODY, PRESSING_BODY, now)) {
                        waiting.remove(next);
                        ends.put(next, now + 4_000 * MILLI);
                    }
                }
            }
            if (now < 4_000 * MILLI) {
                BodyVerdict verdict = mBudget.request(++ticket, PRESSING_BODY, PATIENCE, now);
                if (verdict.outcome() == Outcome.ADMITTED) {
                    ends.put(ticket, now + 4_000 * MILLI);
                } else if (verdict.outcome() == Outcome.WAITING) {
                    waiting.add(ticket);
                } else {
                    refused++;
                    assertThat(verdict.retryAfterMillis(), is(greaterThanOrEqualTo(50L)));
                }
            }
            assertThat(request(-1, 500, now), is(Outcome.ADMITTED));
            mBudget.release(MemoryShare.SMALL_BODY, 500, now);
            assertThat(
                    mBudget.usedBytes(MemoryShare.LARGE_BODY),
                    is(lessThanOrEqualTo(MemoryShare.LARGE_BODY.limitBytes(BUDGET))));
        }
        assertThat(refused, is(greaterThan(0)));
        assertThat(waiting, is(empty()));
    }

    private Outcome request(long ticket, long bytes, long now) {
        return mBudget.request(ticket, bytes, PATIENCE, now).outcome();
    }
}
