package org.fuchsialever.kernel.time;

/** The clock of the operating system. */
public enum SystemTimeSource implements TimeSource {
    /** The only instance. */
    INSTANCE;

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
