package org.fuchsialever.decisions.stop;

/** How far a planned stop has come; steps follow in this order. */
public enum StopStep {
    /** Calls that fit into the rest of the plan are taken. */
    SERVING {
        @Override
        public StopStep next(StopPlan plan, long nowNanos, Pending pending) {
            if (plan.isOver(nowNanos)) {
                return ENDING;
            }
            boolean done = pending.calls() == 0 && pending.handedOver();
            return done && plan.hasLingered(nowNanos) ? CLOSING : SERVING;
        }
    },
    /** No call is taken and connections are closed; a call that came before may still run. */
    CLOSING {
        @Override
        public StopStep next(StopPlan plan, long nowNanos, Pending pending) {
            return pending.calls() == 0 || plan.isOver(nowNanos) ? ENDING : CLOSING;
        }
    },
    /** Calls that still run are answered as far as their callers can be told anything. */
    ENDING {
        @Override
        public StopStep next(StopPlan plan, long nowNanos, Pending pending) {
            return ENDING;
        }
    };

    /** Returns the step at the given time. */
    public abstract StopStep next(StopPlan plan, long nowNanos, Pending pending);

    /**
     * What the stop waits for.
     *
     * @param calls number of calls that wait for their answer
     * @param handedOver whether all submissions were handed over
     */
    public record Pending(int calls, boolean handedOver) {}
}
