package org.fuchsialever.decisions.samples;

import java.util.List;

/**
 * A committed part of the delivery order; the content of row {@code batch/<trainer>/<number>}.
 *
 * @param number sequence number of the batch
 * @param firstPosition the position of its first entry
 * @param entries its entries in delivery order
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
