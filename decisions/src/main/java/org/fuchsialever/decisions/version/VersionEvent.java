package org.fuchsialever.decisions.version;

import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.fleet.FleetUpstream;

/** Event that the version duty handles. */
public sealed interface VersionEvent {

    /** The services with their models, or the upstreams, have changed. */
    record FleetChanged(Map<String, List<String>> modelsByService, List<FleetUpstream> upstreams)
            implements VersionEvent {}

    /** A trainer has announced a new weight version of a model. */
    record VersionAnnounced(String model, long version) implements VersionEvent {}

    /** A trainer has submitted items that require this weight version or a newer one. */
    record MinVersionRequested(String model, long minVersion) implements VersionEvent {}

    /**
     * Submissions are new or have made progress.
     *
     * @param removed IDs of submissions that no longer exist
     */
    record SubmissionsChanged(List<SubmissionLoad> changed, List<String> removed)
            implements VersionEvent {

        /** Copies the lists. */
        public SubmissionsChanged {
            changed = List.copyOf(changed);
            removed = List.copyOf(removed);
        }
    }

    /** An upstream of a service has reported its slowdown. */
    record SlowdownReported(String service) implements VersionEvent {}

    /**
     * An instance has reported speeds of engines.
     *
     * @param speedPercents speeds that differ from the usual one, in percent of it
     */
    record SpeedsReported(String instance, Map<String, Integer> speedPercents)
            implements VersionEvent {

        /** Copies the map. */
        public SpeedsReported {
            speedPercents = Map.copyOf(speedPercents);
        }
    }

    /** This instance now holds the role and may order loads. */
    record RoleAcquired(long fencing) implements VersionEvent {}

    /** This instance no longer holds the role and must not order loads. */
    record RoleLost() implements VersionEvent {}

    /** An upstream has reported its versions and the number of orders it has accepted. */
    record Reported(String upstream, long sequence, Map<String, Long> versions, boolean busy)
            implements VersionEvent {}

    /** The report of an upstream could not be read. */
    record ReportFailed(String upstream) implements VersionEvent {}

    /** An order has a result, or its response was lost. */
    record OrderEnded(String upstream, OrderResult result) implements VersionEvent {}

    /** Result of an order. */
    enum OrderResult {
        /** The upstream loads the version, or its response was lost and it may do so. */
        MAY_BE_LOADING,
        /** The upstream already serves the version. */
        DONE,
        /** The upstream is busy or its state has changed; a new report is needed. */
        OUTDATED,
        /** The upstream has seen a higher fencing token: another instance holds the role. */
        FENCED,
        /** The upstream cannot be reached or rejects the order. */
        REFUSED
    }
}
