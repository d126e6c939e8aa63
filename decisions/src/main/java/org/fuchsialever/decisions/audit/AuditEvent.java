package org.fuchsialever.decisions.audit;

/** Event of the audit duty. */
public sealed interface AuditEvent {

    /** A record was created at a wall-clock time. */
    record Recorded(long wallMillis, AuditRecord record) implements AuditEvent {}

    /** A batch is stored in the object store. */
    record BatchStored(long sequence) implements AuditEvent {}

    /** A batch may not have been stored. */
    record BatchFailed(long sequence) implements AuditEvent {}

    /** The index row of a day was written. */
    record IndexWritten(String day, long version) implements AuditEvent {}

    /** The index row of a day may not have been written. */
    record IndexFailed(String day) implements AuditEvent {}

    /** The index row of a day has another version, because the result of a write was lost. */
    record IndexConflicted(String day, long version) implements AuditEvent {}

    /** The instance is shutting down. */
    record Stop(long wallMillis) implements AuditEvent {}
}
