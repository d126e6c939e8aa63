package org.fuchsialever.kernel.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class DutyThreadTest {
    private static final long NOW = 7_000;

    /** Guards against a first timer that fires a second late because the difference overflows. */
    @Test
    void doesNotWaitForATimerThatHasAlwaysBeenDue() {
        assertThat(DutyThread.waitNanos(Long.MIN_VALUE, NOW), is(0L));
    }

    /** Guards against a thread that spins because a far timer overflows to the past. */
    @Test
    void waitsForATimerThatNeverComesAlsoWhenTheClockIsNegative() {
        assertThat(DutyThread.waitNanos(Duty.NO_TIMER, -NOW), is(greaterThan(NOW)));
    }

    @Test
    void waitsExactlyUntilANearTimer() {
        assertThat(DutyThread.waitNanos(NOW + 5, NOW), is(5L));
        assertThat(DutyThread.waitNanos(NOW, NOW), is(0L));
    }
}
