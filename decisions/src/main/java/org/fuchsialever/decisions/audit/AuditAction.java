package org.fuchsialever.decisions.audit;

/** Action of the audit duty. One event reports the result of each write, or it is retried. */
public sealed interface AuditAction {

    /** Store a batch unless an object of its name exists, in which case it is stored already. */
    record StoreBatch(String objectName, AuditBatch batch) implements AuditAction {}

    /** Write the index row of this start for a day if the row has the given version. */
    record WriteIndex(String day, long version, AuditCheckpoint checkpoint)
            implements AuditAction {}

    /** Records were dropped because the buffer was full. */
    record RecordsLost(long count) implements AuditAction {}

    /** All batches, including the one with the end marker, are stored and indexed. */
    record Stopped() implements AuditAction {}
}
