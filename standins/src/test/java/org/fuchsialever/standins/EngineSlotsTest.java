package org.fuchsialever.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** Guards against an engine stand-in whose queueing would hide faults in dispatching. */
class EngineSlotsTest {
    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private final List<String> mStarted = new ArrayList<>();

    @Test
    void startsTheHighestPriorityFirstAndThenByArrival() {
        EngineSlots slots = new EngineSlots(1, 10, 0, mTime);
        EngineSlots.Ticket running = request(slots, "running", 0);
        EngineSlots.Ticket low = request(slots, "low", 0);
        EngineSlots.Ticket firstHigh = request(slots, "first-high", 5);
        EngineSlots.Ticket secondHigh = request(slots, "second-high", 5);

        running.release();
        firstHigh.release();
        secondHigh.release();
        low.release();

        assertThat(mStarted, contains("running", "first-high", "second-high", "low"));
        assertThat(slots.running(), is(0));
    }

    @Test
    void admitsNoMoreThanItsQueueHolds() {
        EngineSlots slots = new EngineSlots(1, 1, 0, mTime);
        EngineSlots.Ticket running = request(slots, "running", 0);
        request(slots, "waiting", 0);

        assertThat(slots.request("refused", 9), is(nullValue()));
        running.release();
        assertThat(slots.request("admitted", 0), is(notNullValue()));
    }

    @Test
    void givesASlotBackOnlyOnce() {
        EngineSlots slots = new EngineSlots(2, 0, 0, mTime);
        EngineSlots.Ticket first = request(slots, "first", 0);
        request(slots, "second", 0);

        first.release();
        first.release();

        assertThat(slots.running(), is(1));
    }

    @Test
    void reportsTheLoadAsItWasBeforeTheLag() {
        EngineSlots slots = new EngineSlots(4, 0, Duration.ofMillis(100).toNanos(), mTime);
        mTime.advance(Duration.ofMillis(200));
        request(slots, "first", 0);
        mTime.advance(Duration.ofMillis(60));
        request(slots, "second", 0);

        assertThat(slots.load().runningCount(), is(0));
        mTime.advance(Duration.ofMillis(60));
        assertThat(slots.load().runningCount(), is(1));
        mTime.advance(Duration.ofMillis(60));
        assertThat(slots.load().runningCount(), is(2));
    }

    private EngineSlots.Ticket request(EngineSlots slots, String id, int priority) {
        EngineSlots.Ticket ticket = Objects.requireNonNull(slots.request(id, priority));
        ticket.granted().doOnSuccess(done -> mStarted.add(id)).subscribe();
        return ticket;
    }
}
