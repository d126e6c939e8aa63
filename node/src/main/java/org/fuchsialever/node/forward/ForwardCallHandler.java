package org.fuchsialever.node.forward;

import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.services.exchange.ExchangeRequest;

/** The content of a call and whoever waits for its answer. */
public interface ForwardCallHandler {

    /** Returns the identity of the request, for the log. */
    String requestId();

    /** Returns the team that the call is counted for, empty if it is not counted. */
    String meteredTeam();

    /**
     * Returns the request to send.
     *
     * @param upstream the upstream that gets it
     * @param remainingMillis how long the caller still waits
     */
    ExchangeRequest request(FleetUpstream upstream, long remainingMillis);

    /** Creates what reads the answer of an attempt. */
    AttemptReader reader(int attempt);

    /** Passes on the answer of an attempt that has ended. */
    void deliver(int attempt);

    /**
     * Says that there will be no answer.
     *
     * @param reason why
     * @param retryAfterMillis when another try is worthwhile, 0 if unknown
     */
    void refuse(ForwardRefusal reason, long retryAfterMillis);
}
