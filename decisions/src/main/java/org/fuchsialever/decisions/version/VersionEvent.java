package org.fuchsialever.decisions.version;

import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.fleet.FleetUpstream;

/** What the version duty learns. */
public sealed interface VersionEvent {

    /** The upstreams of a service that serve models have changed. */
    record FleetChanged(Map<String, List<String>> modelsByService, List<FleetUpstream> upstreams)
            implements VersionEvent {}

    /** A trainer has named a version. */
    record VersionAnnounced(String model, long version) implements VersionEvent {}

    /** A trainer has submitted items that may run under a version or a newer one. */
    record MinVersionRequested(String model, long minVersion) implements VersionEvent {}

    /** This instance may order loads. */
    record RoleAcquired(long fencing) implements VersionEvent {}

    /** This instance must not order loads any more. */
    record RoleLost() implements VersionEvent {}

    /** An upstream has reported its state. */
    record Reported(String upstream, long sequence, Map<String, Long> versions, boolean busy)
            implements VersionEvent {}

    /** An upstream did not report its state. */
    record ReportFailed(String upstream) implements VersionEvent {}

    /** An order was answered, or its answer is lost. */
    record OrderEnded(String upstream, OrderResult result) implements VersionEvent {}

    /** Answers to an order. */
    enum OrderResult {
        /** The upstream loads the version, or the answer was lost and it may do so. */
        MAY_BE_LOADING,
        /** The upstream has the version already. */
        DONE,
        /** The upstream is busy or its state has changed; a new report is needed. */
        OUTDATED,
        /** A higher fencing number was seen: another instance holds the role. */
        FENCED,
        /** The upstream cannot be reached or does not accept the order. */
        REFUSED
    }
}
