package org.fuchsialever.services;

import java.util.Locale;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * An order to start or stop one upstream.
 *
 * @param order ID of the order; a retry has the same ID
 * @param upstream name of the upstream; names are never reused
 * @param kind the kind of capacity that the upstream runs on
 */
public record UpstreamOrder(
        String order,
        Action action,
        UpstreamId upstream,
        PoolName pool,
        FailureDomain domain,
        CapacityKind kind) {

    /** What an order does to the upstream. */
    public enum Action {
        START,
        STOP;

        /** Returns the text used on the interface. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
