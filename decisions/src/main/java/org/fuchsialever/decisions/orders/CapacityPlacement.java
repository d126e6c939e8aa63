package org.fuchsialever.decisions.orders;

import java.util.Comparator;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;

/**
 * Kind of capacity and failure domain in which upstreams are ordered.
 *
 * @param kind regular or cheap capacity
 */
public record CapacityPlacement(CapacityKind kind, FailureDomain domain)
        implements Comparable<CapacityPlacement> {
    private static final Comparator<CapacityPlacement> ORDER =
            Comparator.comparing(CapacityPlacement::kind).thenComparing(CapacityPlacement::domain);

    @Override
    public int compareTo(CapacityPlacement other) {
        return ORDER.compare(this, other);
    }
}
