package org.fuchsialever.node.lease;

/** Whether this instance competes for roles. */
@FunctionalInterface
public interface LeaseParticipation {

    /** Has it compete for the requested roles, or release all and compete for none. */
    void setActive(boolean active);
}
