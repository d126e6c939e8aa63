package org.fuchsialever.node.orders;

import java.util.Set;
import org.fuchsialever.decisions.model.UpstreamId;

/** Publishes leaving upstreams to the other instances. */
@FunctionalInterface
public interface LeavingUpstreamPublisher {

    /** Publishes upstreams that accept no new calls; repeated publication is harmless. */
    void publish(Set<UpstreamId> upstreams);
}
