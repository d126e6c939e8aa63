package org.fuchsialever.decisions.config;

import java.util.List;
import org.fuchsialever.kernel.findings.Finding;

/** Actions of {@link ConfigDuty}. */
public sealed interface ConfigAction {

    /** Read the version row. */
    record ReadVersion() implements ConfigAction {}

    /**
     * Make a commit without changes on the condition that the version row has the given version.
     *
     * @param version the configuration version that the row names
     * @param rowVersion the version of the row
     */
    record ConfirmVersion(long version, long rowVersion) implements ConfigAction {}

    /**
     * Read a snapshot row.
     *
     * @param version its version
     */
    record ReadSnapshot(long version) implements ConfigAction {}

    /** Ask all listed instances for the snapshot that they serve. */
    record AskPeers() implements ConfigAction {}

    /**
     * Put a snapshot in force.
     *
     * @param snapshot the snapshot
     * @param text the same as in a snapshot row, for peers that ask
     */
    record PublishSnapshot(ConfigSnapshot snapshot, String text) implements ConfigAction {}

    /**
     * Tell an operator that a version cannot be used.
     *
     * @param version the refused version
     * @param findings what is wrong with it
     */
    record RaiseAlarm(long version, List<Finding> findings) implements ConfigAction {

        /** Copies the findings. */
        public RaiseAlarm {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Publish how this instance stands.
     *
     * @param status the status
     */
    record PublishStatus(ConfigStatus status) implements ConfigAction {}
}
