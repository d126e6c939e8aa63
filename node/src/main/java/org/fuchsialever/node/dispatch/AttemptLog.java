package org.fuchsialever.node.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.usage.UsageClass;
import org.fuchsialever.decisions.usage.UsageCounts;

/** Usage of the attempts of one call, in order. Guarded by the monitor of the call. */
final class AttemptLog {
    private final List<Entry> mEntries = new ArrayList<>();

    /** Records the end of an attempt; an attempt that did not run has no usage. */
    void addEnded(UpstreamId upstream, AttemptReport report) {
        if (report.result().outcome() != Outcome.NOT_RUN) {
            UsageCounts used = new UsageCounts(1, report.promptTokens(), report.generatedTokens());
            mEntries.add(new Entry(upstream, report.result(), used));
        }
    }

    /** Records an attempt that this instance cancelled. */
    void addCancelled(UpstreamId upstream, int promptTokens, int generatedTokens) {
        UsageCounts used = new UsageCounts(1, promptTokens, generatedTokens);
        mEntries.add(new Entry(upstream, AttemptResult.CANCELLED, used));
    }

    /** Returns the attempts with the usage class that decides who is charged for each. */
    List<FinishedCall.Attempt> attempts() {
        List<FinishedCall.Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < mEntries.size(); i++) {
            Entry entry = mEntries.get(i);
            UsageClass usageClass =
                    i < mEntries.size() - 1 ? UsageClass.RETRIED : classOfLast(entry.result);
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
