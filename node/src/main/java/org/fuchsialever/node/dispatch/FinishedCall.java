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
 * A call that has ended, without its key and its text.
 *
 * @param id its identity
 * @param caller who pays, and the identity of the key
 * @param route its route
 * @param attempts the attempts in their order; the last one gave the outcome
 * @param outcome what is known about it
 * @param refusal why it was refused, or none if it was answered
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
     * Work of an upstream.
     *
     * @param upstream the upstream
     * @param usageClass why it worked
     * @param used its amounts
     */
    public record Attempt(UpstreamId upstream, UsageClass usageClass, UsageCounts used) {}
}
