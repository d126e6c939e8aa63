package org.fuchsialever.decisions.weights;

import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * An engine in a rollout.
 *
 * @param id its name
 * @param domain its failure domain
 * @param phase how far it is
 */
public record EngineState(UpstreamId id, FailureDomain domain, Phase phase) {

    /** How far an engine is. */
    public enum Phase {
        /** Serves another version and may be ordered to load. */
        OUTDATED(false),
        /** Serves another version and waits after a failed load. */
        BACKING_OFF(false),
        /** Was ordered to load. */
        LOADING(true),
        /** Gives no reports. */
        UNREACHABLE(true),
        /** Reports the wanted version. */
        CURRENT(false);

        private final boolean outOfService;

        Phase(boolean outOfService) {
            this.outOfService = outOfService;
        }

        /** Returns whether the engine counts as capacity that does not serve. */
        public boolean isOutOfService() {
            return outOfService;
        }
    }
}
