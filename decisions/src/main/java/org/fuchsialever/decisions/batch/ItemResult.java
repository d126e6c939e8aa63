package org.fuchsialever.decisions.batch;

import java.util.List;

/**
 * The result of an item.
 *
 * @param itemId ID of the item
 * @param completed whether it has a text; false if the item was abandoned
 * @param text the data of all events, separated by line feeds
 * @param versions the weight versions that generated the text
 * @param score the signature that the scoring call returned, empty without such a call
 */
public record ItemResult(
        String itemId, boolean completed, String text, List<Long> versions, String score) {

    /** Copies the list. */
    public ItemResult {
        versions = List.copyOf(versions);
    }

    /** Returns the result of an item that is abandoned. */
    public static ItemResult abandoned(String itemId) {
        return new ItemResult(itemId, false, "", List.of(), "");
    }
}
