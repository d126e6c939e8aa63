package org.fuchsialever.decisions.batch;

/**
 * What the owner of a submission knows of a text that is being generated. Events that were
 * generated later, or whose report it has not handled yet, are known to the run alone.
 *
 * @param item index of the item
 * @param itemId ID of the item
 * @param run the run that generates it
 * @param continues the run that generated the last known event, empty if there is none
 * @param nextEvent number of the event after the last known one, {@link #FROM_FIRST} if none is
 *     known
 */
public record OpenText(int item, String itemId, String run, String continues, long nextEvent) {
    /** Stands for the first event of a text, whatever its number is. */
    public static final long FROM_FIRST = -1;
}
