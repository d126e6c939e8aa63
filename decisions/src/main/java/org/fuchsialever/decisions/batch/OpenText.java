package org.fuchsialever.decisions.batch;

/**
 * A text that is being generated and whose latest events have not been reported.
 *
 * @param item index of the item
 * @param itemId ID of the item
 * @param run the run that generates it
 * @param continues the run that generated the last reported event, empty if there is none
 */
public record OpenText(int item, String itemId, String run, String continues) {}
