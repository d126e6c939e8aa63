package org.fuchsialever.node.dispatch;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards each finished call to all registered observers. */
public final class CallObservers implements CallObserver {
    private final List<CallObserver> mObservers = new CopyOnWriteArrayList<>();

    /** Adds an observer. */
    public void add(CallObserver observer) {
        mObservers.add(observer);
    }

    @Override
    public void callFinished(FinishedCall call) {
        mObservers.forEach(observer -> observer.callFinished(call));
    }
}
