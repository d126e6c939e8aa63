package org.fuchsialever.node.directory;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.time.TimeSource;

/**
 * The monotonic clock of the store, which all instances share. Wall clocks differ between machines
 * and may jump, so ages of rows are measured by this clock.
 */
public final class StoreClock {
    private final TimeSource mTime;
    private Option<Long> mOffsetMillis = Option.none();

    StoreClock(TimeSource time) {
        mTime = time;
    }

    /** Records the time in a response; the response with the least delay sets the offset. */
    synchronized void observe(long storeMillis) {
        long offset = storeMillis - localMillis();
        mOffsetMillis =
                Option.some(mOffsetMillis.fold(() -> offset, known -> Math.max(known, offset)));
    }

    /** Returns the time of the store in milliseconds, or none before its first response. */
    public synchronized Option<Long> millis() {
        return mOffsetMillis.map(offset -> offset + localMillis());
    }

    private long localMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mTime.nanoTime());
    }
}
