package org.fuchsialever.node.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.usage.UsageClass;
import org.fuchsialever.decisions.usage.UsageCounts;

/** What the attempts of one call consumed, in their order. Guarded by the monitor of the call. */
final class AttemptLog {
    private final List<Entry> entries = new ArrayList<>();

    /** Takes the end of an attempt; one that did not run consumed nothing. */
    void ended(UpstreamId upstream, AttemptReport report) {
        if (report.result().outcome() != Outcome.NOT_RUN) {
            UsageCounts used = new UsageCounts(1, report.promptTokens(), report.generatedTokens());
            entries.add(new Entry(upstream, report.result(), used));
        }
    }

    /** Takes an attempt that this instance cancelled. */
    void cancelled(UpstreamId upstream, int promptTokens, int generatedTokens) {
        UsageCounts used = new UsageCounts(1, promptTokens, generatedTokens);
        entries.add(new Entry(upstream, AttemptResult.CANCELLED, used));
    }

    /** Returns the attempts with the rule that says who pays for each. */
    List<FinishedCall.Attempt> attempts() {
        List<FinishedCall.Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            UsageClass usageClass =
                    i < entries.size() - 1 ? UsageClass.RETRIED : classOfLast(entry.result);
            attempts.add(new FinishedCall.Attempt(entry.upstream, usageClass, entry.used));
        }
        return attempts;
    }

    private static UsageClass classOfLast(AttemptResult result) {
        return switch (result) {
            case COMPLETED -> UsageClass.COMPLETED;
            case CANCELLED -> UsageClass.CANCELLED;
            default -> UsageClass.FAILED;
        };
    }

    private record Entry(UpstreamId upstream, AttemptResult result, UsageCounts used) {}
}
