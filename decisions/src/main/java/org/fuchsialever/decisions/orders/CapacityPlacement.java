package org.fuchsialever.decisions.orders;

import java.util.Comparator;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;

/**
 * Where and how capacity is ordered.
 *
 * @param kind how it is paid for
 * @param domain its failure domain
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
