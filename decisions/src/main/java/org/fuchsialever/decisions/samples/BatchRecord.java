package org.fuchsialever.decisions.samples;

import java.util.List;

/**
 * A fixed part of the order of delivery; the content of row {@code batch/<trainer>/<number>}.
 *
 * @param number its number
 * @param firstPosition the position of its first entry
 * @param entries its entries in order
 */
public record BatchRecord(long number, long firstPosition, List<BatchEntry> entries) {

    /** Copies the entries. */
    public BatchRecord {
        entries = List.copyOf(entries);
    }

    /** Returns the position after the last entry. */
    public long endPosition() {
        return firstPosition + entries.size();
    }
}
