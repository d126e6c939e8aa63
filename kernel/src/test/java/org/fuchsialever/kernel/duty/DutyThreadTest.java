package org.fuchsialever.kernel.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.fuchsialever.kernel.time.ManualTimeSource;
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

    /** Guards against readiness that does not notice a duty that is stuck in one event. */
    @Test
    void tellsForHowLongItsDutyHasNotRun() throws InterruptedException {
        ManualTimeSource time = new ManualTimeSource(0);
        try (DutyThread<String, String> thread =
                new DutyThread<>(
                        new IdleDuty(),
                        new Inbox<>(1, OverflowPolicy.REFUSE),
                        action -> {},
                        time,
                        ProcessEnd.HALT)) {
            time.advanceNanos(NOW);
            assertThat(thread.silenceNanos(), is(NOW));
            thread.close();
            assertThat(thread.silenceNanos(), is(0L));
        }
    }

    private static final class IdleDuty implements Duty<String, String> {
        @Override
        public String dutyName() {
            return "idle";
        }

        @Override
        public void onEvent(String event, long nowNanos, ActionSink<String> actions) {}

        @Override
        public void onTimer(long nowNanos, ActionSink<String> actions) {}

        @Override
        public long nextTimerNanos() {
            return NO_TIMER;
        }
    }
}
