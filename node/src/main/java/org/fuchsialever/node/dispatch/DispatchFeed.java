package org.fuchsialever.node.dispatch;

import java.util.function.Consumer;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchEvent;

/** Connects the dispatch duty with reports of upstreams and of other instances. */
public interface DispatchFeed {

    /** Passes on a report, or drops and counts it if the duty is busy; never blocks. */
    void report(DispatchEvent event);

    /**
     * Adds a listener for what this instance serves for each team. It is called on the thread of
     * the duty and must not block.
     */
    void addShareListener(Consumer<DispatchAction.PublishShares> listener);

    /** Adds an observer of calls that have ended; it is called on the thread of the duty. */
    void addCallObserver(CallObserver observer);
}
