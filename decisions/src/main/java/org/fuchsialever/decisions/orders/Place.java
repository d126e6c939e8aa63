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
public record Place(CapacityKind kind, FailureDomain domain) implements Comparable<Place> {
    private static final Comparator<Place> ORDER =
            Comparator.comparing(Place::kind).thenComparing(Place::domain);

    @Override
    public int compareTo(Place other) {
        return ORDER.compare(this, other);
    }
}
