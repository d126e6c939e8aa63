package org.fuchsialever.node.audit;

import org.fuchsialever.decisions.audit.AuditRecord;

/** Takes audit records. */
@FunctionalInterface
public interface AuditRecorder {

    /**
     * Records something that happened now. Does not block.
     *
     * @return false if the ring is full and the record was not taken
     */
    boolean record(AuditRecord record);
}
