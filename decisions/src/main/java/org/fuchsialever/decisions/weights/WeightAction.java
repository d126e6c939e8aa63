package org.fuchsialever.decisions.weights;

import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/** Output of the weight duty of a model. */
public sealed interface WeightAction {

    /** Something about the intents of the role. */
    record RoleAction(IntentAction<LoadCommand> action) implements WeightAction {}

    /** Ask the weight store for its newest version. */
    record ReadLatestVersion() implements WeightAction {}

    /** An engine did not load a version; it is ordered again after a delay. */
    record LoadFailed(UpstreamId upstream, WeightVersion version) implements WeightAction {}

    /** A version failed on several engines and is given up for all of them. */
    record VersionRolledBack(WeightVersion version, WeightVersion fallback)
            implements WeightAction {}
}
