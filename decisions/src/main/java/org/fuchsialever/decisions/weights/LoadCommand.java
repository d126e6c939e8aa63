package org.fuchsialever.decisions.weights;

import org.fuchsialever.decisions.intent.IntentCommand;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * An order to load a weight version.
 *
 * @param upstream the engine
 * @param version the version to load
 * @param fencingEnforced whether the engine refuses an old fencing number
 */
public record LoadCommand(UpstreamId upstream, WeightVersion version, boolean fencingEnforced)
        implements IntentCommand {

    @Override
    public String target() {
        return upstream.value();
    }

    @Override
    public String receiver() {
        return upstream.value();
    }
}
