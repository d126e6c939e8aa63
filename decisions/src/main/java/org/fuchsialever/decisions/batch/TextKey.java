package org.fuchsialever.decisions.batch;

/**
 * Names a stored segment of a text.
 *
 * @param itemId ID of the item
 * @param firstEvent number of the first event of the segment
 */
public record TextKey(String itemId, long firstEvent) {}
