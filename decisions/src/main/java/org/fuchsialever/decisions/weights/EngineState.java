package org.fuchsialever.decisions.weights;

import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * State of an engine during a rolling update.
 *
 * @param phase progress of the engine towards the target version
 */
public record EngineState(UpstreamId id, FailureDomain domain, Phase phase) {

    /** Progress of an engine towards the target version. */
    public enum Phase {
        /** Serves another version and may start loading the target. */
        OUTDATED(false),
        /** Serves another version and waits after failed loads. */
        BACKING_OFF(false),
        /** A load command is open or has been accepted and not yet reported as done. */
        LOADING(true),
        /** Has sent no report within the validity period. */
        UNREACHABLE(true),
        /** Reports the target version. */
        CURRENT(false);

        private final boolean mOutOfService;

        Phase(boolean outOfService) {
            mOutOfService = outOfService;
        }

        /** Returns whether the engine counts as unavailable capacity. */
        public boolean isOutOfService() {
            return mOutOfService;
        }
    }
}
