package org.fuchsialever.node.hosted;

import java.util.ArrayList;
import java.util.List;

/** Tells parts of the process that it is shutting down, before anything is closed. */
public final class DrainSignal {
    private final List<Runnable> listeners = new ArrayList<>();
    private volatile boolean started;

    /** Adds a listener; it must not block. */
    public synchronized void onStart(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns whether the process is shutting down. */
    public boolean isStarted() {
        return started;
    }

    /** Starts the shutdown; a second call does nothing. */
    public synchronized void start() {
        if (!started) {
            started = true;
            listeners.forEach(Runnable::run);
        }
    }
}
