package org.fuchsialever.decisions.weights;

import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/** Output of the weight duty of a model. */
public sealed interface WeightAction {

    /** An action of the intent machine of the role. */
    record RoleAction(IntentAction<LoadCommand> action) implements WeightAction {}

    /** Request the newest version from the weight store. */
    record ReadLatestVersion() implements WeightAction {}

    /** An engine failed to load a version; the command is repeated after a delay. */
    record LoadFailed(UpstreamId upstream, WeightVersion version) implements WeightAction {}

    /** A version failed on several engines; all engines return to the fallback version. */
    record VersionRolledBack(WeightVersion version, WeightVersion fallback)
            implements WeightAction {}
}
