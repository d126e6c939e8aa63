package org.fuchsialever.services;

import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** The platform's interface for usage reports. */
public interface UsageReportService {

    /**
     * Reports a window on a fresh connection.
     *
     * @param window the identity of the window
     * @param report its figures as JSON
     * @param stillHolding asked after the connection is open and before the report is written
     * @return whether the report was accepted; false if other figures were reported before
     */
    Mono<Boolean> report(String window, byte[] report, BooleanSupplier stillHolding);
}
