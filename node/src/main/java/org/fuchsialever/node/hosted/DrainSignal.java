package org.fuchsialever.node.hosted;

import java.util.ArrayList;
import java.util.List;

/** Tells components that the process is shutting down, before anything is closed. */
public final class DrainSignal {
    private final List<Runnable> mListeners = new ArrayList<>();
    private volatile boolean mStarted;

    /** Adds a listener that is called when the shutdown starts; it must not block. */
    public synchronized void onStart(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns whether the process is shutting down. */
    public boolean isStarted() {
        return mStarted;
    }

    /** Starts the shutdown; a second call does nothing. */
    public synchronized void start() {
        if (!mStarted) {
            mStarted = true;
            mListeners.forEach(Runnable::run);
        }
    }
}
