package org.fuchsialever.node.dispatch;

import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.usage.UsageClass;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.frontend.Caller;

/**
 * A finished call, without the secret of its key and its content.
 *
 * @param id the request ID
 * @param caller the team that is charged, and the ID of its key
 * @param attempts the attempts in order; the last one determined the outcome
 * @param outcome whether the call ran
 * @param refusal why it was refused, or none if a response was sent
 */
public record FinishedCall(
        RequestId id,
        Caller caller,
        RouteName route,
        List<Attempt> attempts,
        Outcome outcome,
        Option<RefusalReason> refusal) {

    /** Copies the list. */
    public FinishedCall {
        attempts = List.copyOf(attempts);
    }

    /**
     * Usage of one attempt at an upstream.
     *
     * @param usageClass decides who is charged
     * @param used the tokens and requests that it used
     */
    public record Attempt(UpstreamId upstream, UsageClass usageClass, UsageCounts used) {}
}
