package org.fuchsialever.decisions.config;

import java.util.List;
import org.fuchsialever.kernel.findings.Finding;

/** Actions of {@link ConfigDuty}. */
public sealed interface ConfigAction {

    /** Read the version row. */
    record ReadVersion() implements ConfigAction {}

    /**
     * Make an empty commit on the condition that the version row has the given row version. Its
     * success confirms that the preceding read was not stale.
     *
     * @param version the configuration version that the row contains
     * @param rowVersion the version of the row
     */
    record ConfirmVersion(long version, long rowVersion) implements ConfigAction {}

    /** Read the snapshot row of a version. */
    record ReadSnapshot(long version) implements ConfigAction {}

    /** Request the snapshot in force from all listed instances. */
    record AskPeers() implements ConfigAction {}

    /**
     * Put a snapshot in force.
     *
     * @param text the content of the snapshot row, for peers that request it
     */
    record PublishSnapshot(ConfigSnapshot snapshot, String text) implements ConfigAction {}

    /**
     * Alert an operator that a version was rejected.
     *
     * @param version the rejected version
     * @param findings the errors in it
     */
    record RaiseAlarm(long version, List<Finding> findings) implements ConfigAction {

        /** Copies the findings. */
        public RaiseAlarm {
            findings = List.copyOf(findings);
        }
    }

    /** Publish the configuration status of this instance. */
    record PublishStatus(ConfigStatus status) implements ConfigAction {}
}
