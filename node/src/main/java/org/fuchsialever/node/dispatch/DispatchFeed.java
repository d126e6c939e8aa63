package org.fuchsialever.node.dispatch;

import java.util.function.Consumer;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchEvent;

/** Passes reports to the dispatch duty and registers listeners for what it publishes. */
public interface DispatchFeed {

    /** Forwards a report, or drops and counts it if the ring of the duty is busy; never blocks. */
    void report(DispatchEvent event);

    /**
     * Adds a listener for the cost and demand of each team on this instance. It is called on the
     * thread of the duty and must not block.
     */
    void addShareListener(Consumer<DispatchAction.PublishShares> listener);

    /** Adds an observer of finished calls; it is called on the thread of the duty. */
    void addCallObserver(CallObserver observer);
}
