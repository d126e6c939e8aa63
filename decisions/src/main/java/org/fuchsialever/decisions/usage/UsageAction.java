package org.fuchsialever.decisions.usage;

import java.util.Locale;
import java.util.Map;
import org.fuchsialever.decisions.model.InstanceId;

/** Action of the usage duty. */
public sealed interface UsageAction {

    /**
     * Write the row of a start if it has the given version.
     *
     * @param change number of the last change in these totals, repeated in the answer
     */
    record WriteRow(StartId owner, long version, long change, UsageTotals totals)
            implements UsageAction {}

    /** Hand totals of a window over; empty totals say that all of the window is in the table. */
    record SendHandover(
            InstanceId receiver,
            StartId owner,
            WindowId window,
            long sequence,
            Map<UsageKey, UsageCounts> totals)
            implements UsageAction {}

    /** Ask for the other instances that take work; answered by an event. */
    record ListPeers() implements UsageAction {}

    /** Something could not be kept. */
    record Lost(Reason reason, long count) implements UsageAction {}

    /** All totals of this start are in the table. */
    record Stopped() implements UsageAction {}

    /** Why usage could not be kept. */
    enum Reason {
        /** Too many totals; the new one is not counted. */
        TOO_MANY_TOTALS,
        /** A window became older than the retention before it was written. */
        WINDOW_EXPIRED,
        /** Too many starts handed over; the new one is not held. */
        TOO_MANY_HANDOVERS;

        /** Returns the name used in metrics. */
        public String code() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
