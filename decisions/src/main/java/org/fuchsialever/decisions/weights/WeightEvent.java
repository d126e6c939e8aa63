package org.fuchsialever.decisions.weights;

import java.util.List;
import org.fuchsialever.decisions.intent.IntentEvent;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/** Input of the weight duty of a model. */
public sealed interface WeightEvent {

    /** An event for the intent machine of the role. */
    record RoleEvent(IntentEvent<LoadCommand> event) implements WeightEvent {}

    /** The weight store reported its newest version. */
    record LatestVersionRead(WeightVersion version) implements WeightEvent {}

    /** The engines that serve the model have changed. */
    record EnginesChanged(List<Engine> engines) implements WeightEvent {

        /** Copies the list. */
        public EnginesChanged {
            engines = List.copyOf(engines);
        }
    }

    /**
     * An engine reported the version that it serves.
     *
     * @param startId ID of the engine process; changes with each restart
     */
    record VersionReported(UpstreamId upstream, WeightVersion version, String startId)
            implements WeightEvent {}

    /**
     * An engine as listed in the pool table.
     *
     * @param fencingEnforced whether it rejects outdated fencing tokens
     */
    record Engine(UpstreamId id, FailureDomain domain, boolean fencingEnforced) {}
}
