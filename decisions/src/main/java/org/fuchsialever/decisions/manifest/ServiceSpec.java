package org.fuchsialever.decisions.manifest;

import java.util.List;

/**
 * A service whose upstreams run calls.
 *
 * @param name its name
 * @param maxConnections the most connections that one of its upstreams accepts from all callers
 * @param models the models that its upstreams serve; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, List<String> models) {

    /** Copies the list. */
    public ServiceSpec {
        models = List.copyOf(models);
    }
}
