package org.fuchsialever.node.directory;

import java.util.List;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.manifest.Manifest;

/** Learns of changes of the mirrored tables, on the thread of the directory duty. */
public interface DirectoryListener {

    /** A newer manifest is in force. */
    default void onManifestChanged(Manifest manifest) {}

    /** The list of upstreams has changed. */
    default void onUpstreamsChanged(List<FleetUpstream> upstreams) {}

    /** A trainer has named a weight version. */
    default void onVersionNamed(String model, long version) {}

    /** Submissions have changed. */
    default void onBatchStatesChanged(List<VersionedState> heads, List<String> removed) {}

    /** The store answers reads of the submissions (again), or no longer. */
    default void onBatchTableAvailability(boolean present) {}
}
