package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.model.WeightVersion;

/**
 * What an upstream says about itself; it lags behind.
 *
 * @param running requests in progress
 * @param waiting requests in its queue
 * @param slots requests that it handles at once
 * @param version the weight version that it serves; version 0 for plain services
 * @param startId identity of the process that serves; changes with each restart
 * @param leaving whether it asks for no new work
 * @param ageNanos age of the report when it arrived
 */
public record LoadReport(
        int running,
        int waiting,
        int slots,
        WeightVersion version,
        String startId,
        boolean leaving,
        long ageNanos) {}
