package org.fuchsialever.services;

import java.util.List;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** The platform's interface for ordering upstreams. It checks no fencing token. */
public interface OrderingService {

    /**
     * Sends an order on a new connection.
     *
     * @param stillHolding whether the caller still holds its role; evaluated after the connection
     *     is open and before the order is written
     * @return the result; fails with {@link PlatformException} of effect {@code NONE} if {@code
     *     stillHolding} returned false
     */
    Mono<UpstreamOrderResult> send(UpstreamOrder order, BooleanSupplier stillHolding);

    /** Returns the upstreams in the platform's list. */
    Mono<List<OrderedUpstream>> list();
}
