package org.fuchsialever.services;

import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** The platform's interface for usage reports. */
public interface UsageReportService {

    /**
     * Reports a usage window on a new connection.
     *
     * @param window the ID of the window
     * @param report the totals of the window as JSON
     * @param stillHolding whether the caller still holds its role; evaluated after the connection
     *     is open and before the report is written
     * @return whether the report was accepted; false if different totals were reported before
     */
    Mono<Boolean> report(String window, byte[] report, BooleanSupplier stillHolding);
}
