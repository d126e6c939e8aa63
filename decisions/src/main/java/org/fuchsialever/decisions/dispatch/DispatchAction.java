package org.fuchsialever.decisions.dispatch;

import java.time.Duration;
import java.util.List;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;

/** Output of the dispatch duty. */
public sealed interface DispatchAction {

    /** Send the request to an upstream; tokens before {@code resumeFrom} have been delivered. */
    record StartAttempt(RequestId request, int attempt, UpstreamSpec upstream, int resumeFrom)
            implements DispatchAction {}

    /** Stop an attempt and tell the upstream. */
    record CancelAttempt(RequestId request, int attempt) implements DispatchAction {}

    /** Count a retry; the next attempt follows after the delay. */
    record Retry(RequestId request, RetryReason reason, Duration delay) implements DispatchAction {}

    /** Tell the caller that no answer will come. */
    record Refuse(RequestId request, RefusalReason reason, Duration retryAfter)
            implements DispatchAction {}

    /** The request has ended and is forgotten; the answer has been delivered by its attempt. */
    record Finish(RequestId request, Outcome outcome) implements DispatchAction {}

    /** State the decayed cost that this instance has served. */
    record PublishShares(PoolName pool, List<DispatchEvent.TeamCost> costs)
            implements DispatchAction {}

    /** Draining has ended: no request is queued or running. */
    record Drained() implements DispatchAction {}
}
