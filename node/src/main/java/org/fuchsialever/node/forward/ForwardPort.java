package org.fuchsialever.node.forward;

import java.util.function.LongFunction;
import org.fuchsialever.decisions.forward.ForwardCall;

/** Takes calls that have to run at an upstream. */
public interface ForwardPort {

    /**
     * Takes a call. Its payload is told the result, on the thread of the forward duty.
     *
     * @param work creates the call from its number
     * @param payload its content
     * @return the number of the call
     */
    long submit(LongFunction<ForwardCall> work, ForwardCallHandler payload);

    /** Ends a call that nobody waits for; its payload is told nothing. */
    void cancel(long number);

    /** Returns the number of calls that are in progress. */
    int inProgress();
}
