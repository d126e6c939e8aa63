package org.fuchsialever.kernel.lifecycle;

import io.vavr.control.Option;

/** When a process was told to stop, which may be before all its parts have started. */
public final class StopRequest {
    private volatile Option<Long> mSince = Option.none();

    /** Notes that the process is told to stop; later calls have no effect. */
    public synchronized void stop(long nowNanos) {
        if (mSince.isEmpty()) {
            mSince = Option.some(nowNanos);
        }
    }

    /** Returns when the process was told to stop, in monotonic nanoseconds. */
    public Option<Long> since() {
        return mSince;
    }
}
