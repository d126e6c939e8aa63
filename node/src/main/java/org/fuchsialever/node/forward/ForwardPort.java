package org.fuchsialever.node.forward;

import java.util.Map;
import java.util.function.LongFunction;
import org.fuchsialever.decisions.forward.ForwardCall;

/** Accepts calls to run at an upstream. */
public interface ForwardPort {

    /**
     * Accepts a call. Its outcome is reported to the handler on the thread of the forward duty.
     *
     * @param callFactory creates the call from the number assigned to it
     * @param handler builds the requests and receives the outcome
     * @return the number of the call
     */
    long submit(LongFunction<ForwardCall> callFactory, ForwardCallHandler handler);

    /**
     * Cancels a call; no outcome is reported for it.
     *
     * @return false if the call had ended, so that its outcome is or will be reported
     */
    boolean cancel(long number);

    /** Returns whether the calls of a service are queued fairly, not by due time alone. */
    boolean isQueuedFairly(String service);

    /**
     * Sets the weights of teams in the queues of this instance.
     *
     * @param weights weight by team; 1 for teams that are not in the map
     */
    void weighTeams(Map<String, Double> weights);

    /** Returns the number of calls that are in progress. */
    int inProgress();
}
