package org.fuchsialever.node.dispatch;

/** Observes finished calls. */
@FunctionalInterface
public interface CallObserver {

    /** Called once for each call, on the thread of the dispatch duty; must not block. */
    void callFinished(FinishedCall call);
}
