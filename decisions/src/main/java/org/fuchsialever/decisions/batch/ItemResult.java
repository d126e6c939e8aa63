package org.fuchsialever.decisions.batch;

import java.util.List;

/**
 * The result of an item.
 *
 * @param itemId the item
 * @param completed whether it has a text; otherwise it was given up
 * @param text the data of all events, separated by line feeds
 * @param versions the weight versions that generated the text
 * @param score the signature of the scoring call, empty if there was none
 */
public record ItemResult(
        String itemId, boolean completed, String text, List<Long> versions, String score) {

    /** Copies the list. */
    public ItemResult {
        versions = List.copyOf(versions);
    }

    /** Returns the result of an item that is given up. */
    public static ItemResult abandoned(String itemId) {
        return new ItemResult(itemId, false, "", List.of(), "");
    }
}
