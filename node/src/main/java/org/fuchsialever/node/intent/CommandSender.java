package org.fuchsialever.node.intent;

import java.util.function.BooleanSupplier;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentCommand;
import reactor.core.publisher.Mono;

/** Sends acts to their receivers. */
@FunctionalInterface
public interface CommandSender<C extends IntentCommand> {

    /**
     * Sends an act on a fresh connection.
     *
     * @param order the act with its fencing number
     * @param stillHolding asked after the connection is open and before anything is written
     */
    Mono<CommandResult> send(IntentAction.SendCommand<C> order, BooleanSupplier stillHolding);
}
