package org.fuchsialever.decisions.fleet;

import java.util.Map;

/**
 * An upstream as it describes itself.
 *
 * @param id its name, which it must confirm when a call expects it
 * @param service the service that it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param failureDomain where it runs
 * @param slots how many calls it runs at once
 * @param serving whether it takes new calls; false once it is leaving
 * @param versions the weight version of each model that it serves
 * @param startedMillis Unix time of its start in milliseconds, 0 if not told
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
