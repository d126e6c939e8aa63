package org.fuchsialever.decisions.usage;

import java.util.Locale;
import java.util.Map;
import org.fuchsialever.decisions.model.InstanceId;

/** Action of the usage duty. */
public sealed interface UsageAction {

    /**
     * Write the row of a start if it has the given version.
     *
     * @param change number of the last change in these totals, repeated in the resulting event
     */
    record WriteRow(StartId owner, long version, long change, UsageTotals totals)
            implements UsageAction {}

    /** Send totals of a window to a peer; empty totals mean that all of it is in the table. */
    record SendHandover(
            InstanceId receiver,
            StartId owner,
            WindowId window,
            long sequence,
            Map<UsageKey, UsageCounts> totals)
            implements UsageAction {}

    /** List the peers that take work; {@link UsageEvent.PeersListed} follows. */
    record ListPeers() implements UsageAction {}

    /** Usage was dropped. */
    record Lost(Reason reason, long count) implements UsageAction {}

    /** All totals of this start are in the table. */
    record Stopped() implements UsageAction {}

    /** Why usage was dropped. */
    enum Reason {
        /** The maximum number of totals is reached; the new one is not counted. */
        TOO_MANY_TOTALS,
        /** A window exceeded the retention before it was written. */
        WINDOW_EXPIRED,
        /** The maximum number of received starts is reached; the new one is not stored. */
        TOO_MANY_HANDOVERS;

        /** Returns the name used in metrics. */
        public String code() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
