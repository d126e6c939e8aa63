package org.fuchsialever.decisions.domain;

/**
 * A change of the share of calls that leave the failure domain.
 *
 * @param service name of the service
 * @param before share before, 0 to 1
 * @param after share from now on, 0 to 1
 * @param reason why it was changed
 * @param homeWaitNanos expected wait in the own failure domain, in nanoseconds
 * @param awayWaitNanos expected wait in the others, in nanoseconds
 */
public record ShareChange(
        String service,
        double before,
        double after,
        LeaveReason reason,
        long homeWaitNanos,
        long awayWaitNanos) {

    /** Returns whether calls begin to leave, or all of them do from now on. */
    public boolean isLeaving() {
        return after > 0 && (before == 0 || reason == LeaveReason.HOME_LOST);
    }

    /** Returns whether calls no longer leave. */
    public boolean isReturned() {
        return after == 0 && before > 0;
    }
}
