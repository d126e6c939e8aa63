package org.fuchsialever.node.orders;

import java.util.Set;
import org.fuchsialever.decisions.model.UpstreamId;

/** Tells the other instances which upstreams are leaving. */
@FunctionalInterface
public interface LeavingUpstreamPublisher {

    /** Spreads upstreams that take no new work; repeats are harmless. */
    void publish(Set<UpstreamId> upstreams);
}
