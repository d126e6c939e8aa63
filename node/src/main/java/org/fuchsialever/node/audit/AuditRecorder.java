package org.fuchsialever.node.audit;

import org.fuchsialever.decisions.audit.AuditRecord;

/** Accepts audit records for storing. */
@FunctionalInterface
public interface AuditRecorder {

    /**
     * Adds a record with the current time. Does not block.
     *
     * @return false if the ring is full and the record was dropped
     */
    boolean record(AuditRecord record);
}
