package org.fuchsialever.services.hosted;

import java.time.Duration;
import java.util.Map;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.version.VersionEvent.OrderResult;
import org.fuchsialever.decisions.version.VersionOrder;
import reactor.core.publisher.Mono;

/** Sends orders to upstreams and reads their reports. */
public interface UpstreamOrders {
    /** An order or report without a response by then has failed. */
    Duration TIME_LIMIT = Duration.ofSeconds(1);

    /** Reads the state of an upstream; fails if the upstream does not report it. */
    Mono<Report> report(FleetUpstream upstream);

    /**
     * Orders an upstream to load a weight version; generations in progress continue under it.
     *
     * @param fencing the fencing token of the role
     * @param sequence the number of orders that the upstream must have accepted so far
     */
    Mono<OrderResult> load(VersionOrder order, long fencing, long sequence);

    /**
     * State of an upstream.
     *
     * @param sequence the number of orders that it has accepted since its start
     * @param versions the weight version of each model
     * @param busy whether an order is in progress
     */
    record Report(long sequence, Map<String, Long> versions, boolean busy) {

        /** Copies the map. */
        public Report {
            versions = Map.copyOf(versions);
        }
    }
}
