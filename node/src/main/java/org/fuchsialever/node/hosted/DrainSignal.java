package org.fuchsialever.node.hosted;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.kernel.lifecycle.StopRequest;

/** Tells components that the process is shutting down, before anything is closed. */
public final class DrainSignal {
    private final StopRequest mRequest;
    private final List<Runnable> mListeners = new ArrayList<>();
    private boolean mStarted;

    /** Creates a signal that follows the request to stop the process. */
    public DrainSignal(StopRequest request) {
        mRequest = request;
    }

    /** Adds a listener that is called when the shutdown starts; it must not block. */
    public synchronized void onStart(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns when the process was told to stop, in monotonic nanoseconds. */
    public Option<Long> since() {
        return mRequest.since();
    }

    /** Returns whether the process was told to stop. */
    public boolean isStarted() {
        return since().isDefined();
    }

    /** Starts the shutdown; a second call does nothing. */
    public synchronized void start(long nowNanos) {
        mRequest.stop(nowNanos);
        if (!mStarted) {
            mStarted = true;
            mListeners.forEach(Runnable::run);
        }
    }
}
