package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.model.WeightVersion;

/**
 * Load as reported by an upstream; it is out of date by its age and the time in transit.
 *
 * @param running requests in progress
 * @param waiting requests in the upstream's own queue
 * @param slots number of requests that it processes concurrently
 * @param version the weight version that it serves, 0 for plain services
 * @param startId ID of the serving process; changes with each restart
 * @param leaving whether it accepts no new requests
 * @param ageNanos age of the report in nanoseconds when it arrived
 */
public record LoadReport(
        int running,
        int waiting,
        int slots,
        WeightVersion version,
        String startId,
        boolean leaving,
        long ageNanos) {}
