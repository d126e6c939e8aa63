package org.fuchsialever.node.directory;

import java.util.List;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.manifest.Manifest;

/** Is told of changes of the mirrored tables, on the thread of the directory duty. */
public interface DirectoryListener {

    /** A newer manifest is in force. */
    default void onManifestChanged(Manifest manifest) {}

    /**
     * The manifest was read, whether it is a newer one or not.
     *
     * @param asOfNanos a time at which no newer manifest was in the store, in monotonic nanoseconds
     */
    default void onManifestCurrent(Manifest manifest, long asOfNanos) {}

    /** The list of upstreams has changed. */
    default void onUpstreamsChanged(List<FleetUpstream> upstreams) {}

    /** A trainer has announced a weight version. */
    default void onVersionNamed(String model, long version) {}

    /** Submissions have changed. */
    default void onBatchStatesChanged(List<VersionedState> states, List<String> removed) {}

    /** The table of submissions has been read, or can no longer be read. */
    default void onBatchTableAvailability(boolean available) {}

    /** Slots of the working set were written or removed. */
    default void onPresencesChanged(
            List<Directory.VersionedPresence> changed, List<Integer> removed) {}

    /** All changes of the slots of the working set have been read. */
    default void onPresencesCurrent() {}
}
