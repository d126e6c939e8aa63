package org.fuchsialever.node.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.time.Duration;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

class StoreClockTest {
    private final ManualTimeSource mTime = new ManualTimeSource(1_000_000);
    private final StoreClock mClock = new StoreClock(mTime);

    @Test
    void knowsNoTimeBeforeTheStoreHasAnswered() {
        assertThat(mClock.millis(), is(Option.none()));
    }

    /** Guards against submissions that time out early because a wall clock jumped. */
    @Test
    void ignoresJumpsOfTheWallClock() {
        mClock.observe(5_000);
        mTime.advanceNanos(Duration.ofMillis(200).toNanos());
        mTime.jumpWallMillis(60_000);
        assertThat(mClock.millis(), is(Option.some(5_200L)));
    }

    @Test
    void usesTheResponseWithTheLeastDelay() {
        mClock.observe(5_000);
        mTime.advanceNanos(Duration.ofMillis(100).toNanos());
        mClock.observe(5_040);
        assertThat(mClock.millis(), is(Option.some(5_100L)));
        mClock.observe(5_120);
        assertThat(mClock.millis(), is(Option.some(5_120L)));
    }
}
