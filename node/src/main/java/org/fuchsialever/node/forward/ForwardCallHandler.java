package org.fuchsialever.node.forward;

import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.services.exchange.ExchangeRequest;

/** Builds the requests of a forwarded call, reads its responses and receives its outcome. */
public interface ForwardCallHandler {

    /** Returns the ID of the request, for log lines. */
    String requestId();

    /** Returns the team that the call is metered for, empty if it is not metered. */
    String meteredTeam();

    /**
     * Returns the request to send in the next attempt.
     *
     * @param upstream the upstream that the attempt is sent to
     * @param remainingMillis time until the call's deadline, {@link Long#MAX_VALUE} for none
     */
    ExchangeRequest request(FleetUpstream upstream, long remainingMillis);

    /** Creates the reader of an attempt's response. */
    AttemptReader reader(int attempt);

    /** Delivers the response of an attempt that has ended. */
    void deliver(int attempt);

    /**
     * Reports that the call ends without a response.
     *
     * @param reason says also whether the call may have run
     * @param retryAfterMillis time after which a retry is worthwhile, 0 if unknown
     */
    void refuse(ForwardRefusal reason, long retryAfterMillis);
}
