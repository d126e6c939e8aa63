package org.fuchsialever.services.rows;

import java.util.List;
import java.util.Map;

/**
 * An atomic, conditional change.
 *
 * @param expectedVersions the version that each of these rows must have, 0 if the row must not
 *     exist
 */
public record RowChange(
        Map<RowKey, Long> expectedVersions, Map<RowKey, byte[]> puts, List<RowKey> removals) {

    /** Copies the collections. */
    public RowChange {
        expectedVersions = Map.copyOf(expectedVersions);
        puts = Map.copyOf(puts);
        removals = List.copyOf(removals);
    }
}
