package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.intent.IntentCommand;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * Command to start or stop an upstream.
 *
 * @param pool the pool of the upstream
 * @param placement kind of capacity and failure domain of the upstream
 */
public record UpstreamCommand(
        Action action, UpstreamId upstream, PoolName pool, CapacityPlacement placement)
        implements IntentCommand {

    @Override
    public String target() {
        return upstream.value();
    }

    @Override
    public String receiver() {
        return "ordering";
    }

    /** The ordering interface checks no fencing number. */
    @Override
    public boolean fencingEnforced() {
        return false;
    }

    /** Kind of command. */
    public enum Action {
        START,
        STOP
    }
}
