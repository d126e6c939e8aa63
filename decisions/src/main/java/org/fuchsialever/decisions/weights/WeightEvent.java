package org.fuchsialever.decisions.weights;

import java.util.List;
import org.fuchsialever.decisions.intent.IntentEvent;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/** Input of the weight duty of a model. */
public sealed interface WeightEvent {

    /** Something about the role or its intents. */
    record RoleEvent(IntentEvent<LoadCommand> event) implements WeightEvent {}

    /** The weight store stated its newest version. */
    record LatestVersionRead(WeightVersion version) implements WeightEvent {}

    /** The engines that are to serve the model. */
    record EnginesChanged(List<Engine> engines) implements WeightEvent {

        /** Copies the list. */
        public EnginesChanged {
            engines = List.copyOf(engines);
        }
    }

    /**
     * An engine stated what it serves.
     *
     * @param upstream the engine
     * @param version the version that it serves
     * @param startId identity of its process
     */
    record VersionReported(UpstreamId upstream, WeightVersion version, String startId)
            implements WeightEvent {}

    /**
     * An engine of the pool table.
     *
     * @param id its name
     * @param domain its failure domain
     * @param fencingEnforced whether it refuses an old fencing number
     */
    record Engine(UpstreamId id, FailureDomain domain, boolean fencingEnforced) {}
}
