package org.fuchsialever.node.dispatch;

import java.util.function.Consumer;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchEvent;

/** Passes reports to the ring of the dispatch duty. */
record RingFeed(DispatchRing ring, CallDispatcher dispatcher) implements DispatchFeed {

    @Override
    public void report(DispatchEvent event) {
        ring.report(event);
    }

    @Override
    public void addShareListener(Consumer<DispatchAction.PublishShares> listener) {
        dispatcher.onShares(listener);
    }

    @Override
    public void addCallObserver(CallObserver observer) {
        dispatcher.onFinished(observer);
    }
}
