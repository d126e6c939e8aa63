package org.fuchsialever.decisions.fleet;

import java.util.Map;

/**
 * The description that an upstream publishes of itself.
 *
 * @param id name, which the upstream verifies when a call states it
 * @param service name of the service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param failureDomain failure domain that it runs in
 * @param slots maximum number of calls that it runs at once
 * @param serving whether it accepts new calls; false once it is leaving
 * @param versions the weight version of each model that it serves
 * @param startedMillis Unix time of its start in milliseconds, 0 if unknown
 */
public record FleetUpstream(
        String id,
        String service,
        String host,
        int port,
        String failureDomain,
        int slots,
        boolean serving,
        Map<String, Long> versions,
        long startedMillis) {

    /** Copies the map. */
    public FleetUpstream {
        versions = Map.copyOf(versions);
    }

    /** Returns the weight version of a model, 0 if this upstream does not serve it. */
    public long versionOf(String model) {
        return versions.getOrDefault(model, 0L);
    }
}
