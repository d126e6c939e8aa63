package org.fuchsialever.kernel.time;

/** The clocks of a process. */
public interface TimeSource {

    /** Returns the monotonic time in nanoseconds since an arbitrary origin. */
    long nanoTime();

    /** Returns the wall-clock time in milliseconds since the epoch; it may jump either way. */
    long wallMillis();
}
