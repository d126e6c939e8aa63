package org.fuchsialever.node.forward;

import java.util.function.LongFunction;
import org.fuchsialever.decisions.forward.ForwardCall;

/** Accepts calls to run at an upstream. */
public interface ForwardPort {

    /**
     * Accepts a call. Its outcome is reported to the payload on the thread of the forward duty.
     *
     * @param work creates the unit of work for the number assigned to the call
     * @param payload builds the requests and receives the outcome
     * @return the number of the call
     */
    long submit(LongFunction<ForwardCall> work, ForwardCallHandler payload);

    /** Cancels a call; no outcome is reported for it. */
    void cancel(long number);

    /** Returns the number of calls that are in progress. */
    int inProgress();
}
