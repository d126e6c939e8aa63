package org.fuchsialever.decisions.samples;

import io.vavr.control.Option;
import java.util.List;

/**
 * One conditional commit under the lease of a trainer. A repeat carries the same content.
 *
 * @param writer identity of the commit, stored with the rows
 * @param expectedHeadVersion the version that row {@code cursor/<trainer>} must have; 0 if it must
 *     not exist
 * @param head the new content of that row
 * @param batches new batches and batches with a replaced entry
 * @param submission the submission to record, if any
 * @param firstDeleted the first batch row to delete
 * @param endDeleted the batch row after the last one to delete
 */
public record HeadCommit(
        String writer,
        long expectedHeadVersion,
        LogHead head,
        List<BatchRecord> batches,
        Option<Submission> submission,
        long firstDeleted,
        long endDeleted) {

    /** Copies the batches. */
    public HeadCommit {
        batches = List.copyOf(batches);
    }
}
