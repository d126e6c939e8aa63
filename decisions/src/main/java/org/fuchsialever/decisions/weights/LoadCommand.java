package org.fuchsialever.decisions.weights;

import org.fuchsialever.decisions.intent.IntentCommand;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * Command to an engine to load a weight version.
 *
 * @param version the version to load
 * @param fencingEnforced whether the engine rejects outdated fencing tokens
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
