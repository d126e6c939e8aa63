package org.fuchsialever.decisions.samples;

import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.kernel.duty.ActionSink;

/** Context of one invocation of the duty for one trainer. */
record InvocationContext(
        TrainerName trainer, long term, long now, ActionSink<RolloutAction> actions) {

    void emit(RolloutAction action) {
        actions.emit(action);
    }

    void count(RolloutCounter counter, int amount) {
        if (amount > 0) {
            actions.emit(new RolloutAction.Count(trainer, counter, amount));
        }
    }
}
