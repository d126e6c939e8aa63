package org.fuchsialever.services;

import java.util.List;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** The platform's interface for ordering upstreams. It checks no fencing number. */
public interface OrderingService {

    /**
     * Sends an order on a fresh connection.
     *
     * @param order the order
     * @param stillHolding asked after the connection is open and before the order is written
     * @return the answer; fails with {@link PlatformException} of effect {@code NONE} if {@code
     *     stillHolding} said no
     */
    Mono<UpstreamOrderResult> send(UpstreamOrder order, BooleanSupplier stillHolding);

    /** Returns the upstreams as the platform sees them. */
    Mono<List<OrderedUpstream>> list();
}
