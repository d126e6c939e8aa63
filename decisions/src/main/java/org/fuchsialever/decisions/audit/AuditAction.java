package org.fuchsialever.decisions.audit;

/** Action of the audit duty. Each write is answered by one event and repeated without an answer. */
public sealed interface AuditAction {

    /** Store a batch unless its name exists, which means that it is stored. */
    record StoreBatch(String objectName, AuditBatch batch) implements AuditAction {}

    /** Write the index row of a day and this start if it has the given version. */
    record WriteIndex(String day, long version, AuditCheckpoint checkpoint)
            implements AuditAction {}

    /** Records were lost because the bounded memory was full. */
    record RecordsLost(long count) implements AuditAction {}

    /** All batches, the one with the end marker included, are stored and in the index. */
    record Stopped() implements AuditAction {}
}
