package org.fuchsialever.decisions.audit;

import java.util.Locale;

/**
 * Something that an auditor has to be told.
 *
 * @param start instance and start identity, joined by a slash
 * @param sequence number of the batch
 * @param kind what is wrong
 */
public record AuditProblem(String start, long sequence, Kind kind) {

    /** What is wrong. */
    public enum Kind {
        /** A batch is not there. */
        MISSING,
        /** The content of a batch is not what it was. */
        CHANGED,
        /**
         * The batch after it is missing or changed, so that no hash proves this batch and, through
         * it, those before it.
         */
        NOT_PROVEN,
        /**
         * The last batch has no end marker: the instance still runs or was lost, with at most 2 s
         * of records.
         */
        NO_END_MARKER,
        /** A start has batches but no index row. */
        NOT_INDEXED;

        /** Returns the name used in output. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** Returns whether this says that the content of a batch is gone. */
    boolean isLossOf(long number) {
        return sequence == number && (kind == Kind.MISSING || kind == Kind.CHANGED);
    }
}
