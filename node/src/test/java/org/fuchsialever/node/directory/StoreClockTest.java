package org.fuchsialever.node.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.time.Duration;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

class StoreClockTest {
    private final ManualTimeSource time = new ManualTimeSource(1_000_000);
    private final StoreClock clock = new StoreClock(time);

    @Test
    void knowsNoTimeBeforeTheStoreHasAnswered() {
        assertThat(clock.millis(), is(Option.none()));
    }

    /** Guards against submissions that time out early because a wall clock jumped. */
    @Test
    void ignoresJumpsOfTheWallClock() {
        clock.observe(5_000);
        time.advanceNanos(Duration.ofMillis(200).toNanos());
        time.jumpWallMillis(60_000);
        assertThat(clock.millis(), is(Option.some(5_200L)));
    }

    @Test
    void usesTheResponseWithTheLeastDelay() {
        clock.observe(5_000);
        time.advanceNanos(Duration.ofMillis(100).toNanos());
        clock.observe(5_040);
        assertThat(clock.millis(), is(Option.some(5_100L)));
        clock.observe(5_120);
        assertThat(clock.millis(), is(Option.some(5_120L)));
    }
}
