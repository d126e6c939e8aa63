package org.fuchsialever.node.batch;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.batch.TextSegment;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.rows.RowChangeResult;
import org.fuchsialever.services.rows.RowKey;
import org.fuchsialever.services.rows.StoredRow;

/** Stores the latest events of items that are stopped, unless another run has stored them. */
final class TextKeeper {
    private static final String PART = "batch";

    /** Keeps a change below the store's limit of 1 MB: a segment has at most 40,000 characters. */
    private static final int MAX_SEGMENTS_PER_CHANGE = 10;

    private final BatchStore mStore;
    private final TraceLog mTrace;

    TextKeeper(BatchStore store, TraceLog trace) {
        mStore = store;
        mTrace = trace;
    }

    /**
     * Stores segments of texts.
     *
     * @param id ID of the submission, for log lines
     * @param model the model that generates the texts
     */
    void keep(String id, String model, List<TextSegment> segments) {
        for (int from = 0; from < segments.size(); from += MAX_SEGMENTS_PER_CHANGE) {
            int to = Math.min(segments.size(), from + MAX_SEGMENTS_PER_CHANGE);
            keep(id, model, segments.subList(from, to), true);
        }
    }

    private void keep(String id, String model, List<TextSegment> segments, boolean firstAttempt) {
        if (segments.isEmpty()) {
            return;
        }
        mStore.keepTexts(model, segments)
                .subscribe(
                        result -> {
                            boolean applied = result instanceof RowChangeResult.Applied;
                            mTrace.line(PART, applied ? "texts-kept" : "texts-not-kept")
                                    .with("id", id)
                                    .with("segments", segments.size())
                                    .write();
                            if (result instanceof RowChangeResult.Rejected rejected
                                    && firstAttempt) {
                                keep(id, model, without(segments, model, rejected), false);
                            }
                        },
                        failure ->
                                mTrace.line(PART, "texts-not-kept")
                                        .with("id", id)
                                        .with("segments", segments.size())
                                        .with("reason", String.valueOf(failure.getMessage()))
                                        .write());
    }

    /** Leaves out the items of which another run has stored a segment. */
    private static List<TextSegment> without(
            List<TextSegment> segments, String model, RowChangeResult.Rejected rejected) {
        Set<RowKey> present = new HashSet<>();
        for (StoredRow row : rejected.currentRows()) {
            if (!row.removed()) {
                present.add(row.key());
            }
        }
        Set<String> items = new HashSet<>();
        for (TextSegment segment : segments) {
            if (present.contains(BatchRows.textKey(model, segment.key()))) {
                items.add(segment.itemId());
            }
        }
        return segments.stream().filter(segment -> !items.contains(segment.itemId())).toList();
    }
}
