package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.intent.IntentCommand;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * An order to start or stop an upstream.
 *
 * @param action what to do
 * @param upstream the upstream
 * @param pool the pool that it serves
 * @param placement where and how it runs
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

    /** What an order asks for. */
    public enum Action {
        START,
        STOP
    }
}
