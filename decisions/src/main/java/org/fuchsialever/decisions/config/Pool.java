package org.fuchsialever.decisions.config;

import java.util.List;
import org.fuchsialever.decisions.model.PoolName;

/**
 * One pool of the pool table with its upstreams.
 *
 * @param name its name
 * @param kind what its upstreams speak
 * @param model the model that its engines serve, or an empty string
 * @param balancing the name of the balancing policy
 * @param minimum the least number of upstreams to keep
 * @param maximum the greatest number of upstreams to order
 * @param upstreams its upstreams, sorted by name
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
