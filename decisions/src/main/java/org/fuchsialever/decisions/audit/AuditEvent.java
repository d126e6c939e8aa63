package org.fuchsialever.decisions.audit;

/** Event of the audit duty. */
public sealed interface AuditEvent {

    /** Something happened at a wall-clock time. */
    record Recorded(long wallMillis, AuditRecord record) implements AuditEvent {}

    /** A batch is in the object store. */
    record BatchStored(long sequence) implements AuditEvent {}

    /** A batch is perhaps not in the object store. */
    record BatchFailed(long sequence) implements AuditEvent {}

    /** The index row of a day was written. */
    record IndexWritten(String day, long version) implements AuditEvent {}

    /** The index row of a day was perhaps not written. */
    record IndexFailed(String day) implements AuditEvent {}

    /** The index row of a day has another version, because the answer to a write was lost. */
    record IndexConflicted(String day, long version) implements AuditEvent {}

    /** The instance stops. */
    record Stop(long wallMillis) implements AuditEvent {}
}
