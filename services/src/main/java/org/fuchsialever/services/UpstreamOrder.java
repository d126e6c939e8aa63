package org.fuchsialever.services;

import java.util.Locale;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * An order to start or stop one upstream.
 *
 * @param order identity of the order; a repeat carries the same one
 * @param action what to do
 * @param upstream the upstream; a name is never used for another one
 * @param pool the pool that it serves
 * @param domain its failure domain
 * @param kind how it is paid for
 */
public record UpstreamOrder(
        String order,
        Action action,
        UpstreamId upstream,
        PoolName pool,
        FailureDomain domain,
        CapacityKind kind) {

    /** What an order asks for. */
    public enum Action {
        START,
        STOP;

        /** Returns the text used on the interface. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
