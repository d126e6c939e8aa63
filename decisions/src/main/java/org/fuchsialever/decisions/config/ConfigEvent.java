package org.fuchsialever.decisions.config;

import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/** Events of {@link ConfigDuty}. */
public sealed interface ConfigEvent {

    /**
     * The version row was read; the read may be stale.
     *
     * @param version the configuration version, 0 if there is no row
     * @param rowVersion the version of the row, 0 if there is none
     */
    record VersionRead(long version, long rowVersion) implements ConfigEvent {}

    /**
     * A commit that is conditional on the version row took effect, so that the row was the latest.
     *
     * @param version the configuration version that was read
     */
    record VersionConfirmed(long version) implements ConfigEvent {}

    /**
     * A snapshot row was read.
     *
     * @param version the version that was asked for
     * @param text the content of the row
     */
    record SnapshotRead(long version, String text) implements ConfigEvent {}

    /** A read or the proof of freshness failed. */
    record ReadFailed() implements ConfigEvent {}

    /**
     * A peer serves a version.
     *
     * @param version that version
     */
    record PeerVersion(long version) implements ConfigEvent {}

    /**
     * The instance list was read.
     *
     * @param peers the number of listed instances without this one
     */
    record PeersListed(int peers) implements ConfigEvent {}

    /**
     * A peer answered with the snapshot that it serves.
     *
     * @param peer its name
     * @param domain its failure domain
     * @param text the snapshot as in a snapshot row
     */
    record PeerSnapshot(InstanceId peer, FailureDomain domain, String text)
            implements ConfigEvent {}
}
