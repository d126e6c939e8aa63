package org.fuchsialever.decisions.batch;

import java.util.Map;
import java.util.Set;

/**
 * A submission that this instance owns and whose content it has read from the store.
 *
 * @param state its state, with this instance as owner
 * @param version the version of the state row
 * @param spec the submitted items
 * @param finishedItems IDs of the items that already have a result
 * @param storedTexts the stored beginnings of texts, by the ID of the item
 */
public record LoadedBatch(
        BatchState state,
        long version,
        BatchSpec spec,
        Set<String> finishedItems,
        Map<String, PartialText> storedTexts) {

    /** Copies the collections. */
    public LoadedBatch {
        finishedItems = Set.copyOf(finishedItems);
        storedTexts = Map.copyOf(storedTexts);
    }
}
