package org.fuchsialever.kernel.time;

/** Clock of a process. */
public interface TimeSource {

    /** Returns monotonic time in nanoseconds from an arbitrary origin. */
    long nanoTime();

    /** Returns wall-clock time in milliseconds since the epoch; may jump. */
    long wallMillis();
}
