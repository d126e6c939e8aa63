package org.fuchsialever.decisions.samples;

import java.util.List;

/**
 * The state of a trainer as read from the table service and the object store.
 *
 * @param headVersion version of row {@code cursor/<trainer>}, or 0 if there is none
 * @param head content of that row
 * @param submissions the submissions of all open steps
 * @param batches the batches from the first needed one on, in order
 */
public record RestoredLog(
        long headVersion,
        LogHead head,
        List<RestoredSubmission> submissions,
        List<BatchRecord> batches) {

    /** Copies the lists. */
    public RestoredLog {
        submissions = List.copyOf(submissions);
        batches = List.copyOf(batches);
    }

    /**
     * A stored submission and its age.
     *
     * @param ageNanos time since it was accepted, in nanoseconds
     */
    public record RestoredSubmission(Submission submission, long ageNanos) {}
}
