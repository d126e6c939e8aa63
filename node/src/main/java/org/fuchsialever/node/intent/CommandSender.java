package org.fuchsialever.node.intent;

import java.util.function.BooleanSupplier;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentCommand;
import reactor.core.publisher.Mono;

/** Sends the commands of intents to their receivers. */
@FunctionalInterface
public interface CommandSender<C extends IntentCommand> {

    /**
     * Sends a command on a new connection.
     *
     * @param order the command with its fencing token
     * @param stillHolding whether the lease is still valid; asked after the connection is open and
     *     before anything is written
     */
    Mono<CommandResult> send(IntentAction.SendCommand<C> order, BooleanSupplier stillHolding);
}
