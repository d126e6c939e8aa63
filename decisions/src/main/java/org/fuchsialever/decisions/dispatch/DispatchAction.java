package org.fuchsialever.decisions.dispatch;

import java.time.Duration;
import java.util.List;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;

/** Output of the dispatch duty. */
public sealed interface DispatchAction {

    /** Send the request to an upstream; tokens before {@code resumeFrom} are already delivered. */
    record StartAttempt(RequestId request, int attempt, UpstreamSpec upstream, int resumeFrom)
            implements DispatchAction {}

    /** Cancel an attempt and notify the upstream. */
    record CancelAttempt(RequestId request, int attempt) implements DispatchAction {}

    /** Count a retry; the next attempt follows after the delay. */
    record Retry(RequestId request, RetryReason reason, Duration delay) implements DispatchAction {}

    /** Tell the caller that no complete response will be delivered. */
    record Refuse(RequestId request, RefusalReason reason, Duration retryAfter)
            implements DispatchAction {}

    /**
     * The request has ended and its state is removed. Its attempt has delivered the response, if
     * any.
     */
    record Finish(RequestId request, Outcome outcome) implements DispatchAction {}

    /** Publish the decayed cost that this instance has served for the teams of a pool. */
    record PublishShares(PoolName pool, List<DispatchEvent.TeamCost> costs)
            implements DispatchAction {}

    /** Draining has ended: no request is queued or running. */
    record Drained() implements DispatchAction {}
}
