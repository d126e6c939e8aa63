package org.fuchsialever.decisions.manifest;

import java.util.List;

/**
 * A service, which is a set of interchangeable upstreams.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that each upstream accepts in total
 * @param models the models that its upstreams serve; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, List<String> models) {

    /** Copies the list. */
    public ServiceSpec {
        models = List.copyOf(models);
    }
}
