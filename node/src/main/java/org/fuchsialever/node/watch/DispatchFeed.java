package org.fuchsialever.node.watch;

import org.fuchsialever.decisions.dispatch.DispatchEvent;

/** Takes what is learnt about upstreams to the dispatch duty. */
@FunctionalInterface
public interface DispatchFeed {

    /** Returns whether the event was accepted; a refused one may be dropped. */
    boolean offer(DispatchEvent event);
}
