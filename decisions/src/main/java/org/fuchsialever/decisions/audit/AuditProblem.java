package org.fuchsialever.decisions.audit;

import java.util.Locale;

/**
 * Problem found while verifying the audit record.
 *
 * @param start instance and start ID, joined by a slash
 * @param sequence sequence number of the batch
 */
public record AuditProblem(String start, long sequence, Kind kind) {

    /** Kind of problem. */
    public enum Kind {
        /** A batch does not exist. */
        MISSING,
        /** The content of a batch was changed. */
        CHANGED,
        /**
         * The next batch is missing or changed, so that no hash proves this batch or, through it,
         * the batches before it.
         */
        NOT_PROVEN,
        /**
         * The last batch has no end marker: the instance is still running, or it crashed and lost
         * up to 2 s of records.
         */
        NO_END_MARKER,
        /** A start has batches but no index row. */
        NOT_INDEXED;

        /** Returns the name used in output. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** Returns whether this problem means that the content of a batch is lost. */
    boolean isLossOf(long number) {
        return sequence == number && (kind == Kind.MISSING || kind == Kind.CHANGED);
    }
}
