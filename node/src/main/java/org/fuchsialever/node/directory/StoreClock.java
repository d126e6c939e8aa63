package org.fuchsialever.node.directory;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.time.TimeSource;

/**
 * The steady clock of the store, which all instances share. The time of day differs between
 * machines and may jump, so ages of rows are counted by this clock.
 */
public final class StoreClock {
    private final TimeSource time;
    private Option<Long> offsetMillis = Option.none();

    StoreClock(TimeSource time) {
        this.time = time;
    }

    /** Notes the time that an answer named; the answer that came fastest counts. */
    synchronized void observe(long storeMillis) {
        long offset = storeMillis - localMillis();
        offsetMillis =
                Option.some(offsetMillis.fold(() -> offset, known -> Math.max(known, offset)));
    }

    /** Returns the time of the store in milliseconds, or none before it first answered. */
    public synchronized Option<Long> millis() {
        return offsetMillis.map(offset -> offset + localMillis());
    }

    private long localMillis() {
        return TimeUnit.NANOSECONDS.toMillis(time.nanoTime());
    }
}
