package org.fuchsialever.decisions.config;

import java.util.List;
import org.fuchsialever.decisions.model.PoolName;

/**
 * A pool of the pool table with its upstreams.
 *
 * @param kind kind of its upstreams
 * @param model the model that its engines serve, or an empty string
 * @param balancing the name of the balancing policy
 * @param minimum minimum number of upstreams to keep
 * @param maximum maximum number of upstreams up to which more are ordered
 * @param upstreams upstreams, sorted by name
 */
public record Pool(
        PoolName name,
        UpstreamKind kind,
        String model,
        String balancing,
        int minimum,
        int maximum,
        List<UpstreamSpec> upstreams) {

    /** Copies the upstreams. */
    public Pool {
        upstreams = List.copyOf(upstreams);
    }
}
