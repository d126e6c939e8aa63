package org.fuchsialever.node.version;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.version.SubmissionLoad;
import org.fuchsialever.decisions.version.VersionEvent;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.directory.DirectoryListener;

/** Tells the version duty what the mirrored submissions ask of the engines. */
final class SubmissionWatch implements DirectoryListener {
    /** Progress is reported in parts of this number, because rows change several times a second. */
    private static final int PROGRESS_PARTS = 4;

    private final TimeSource mTime;
    private final Supplier<Option<Long>> mStoreMillis;
    private final Consumer<VersionEvent> mEvents;
    private final Map<String, Integer> mReportedParts = new HashMap<>();

    /**
     * Creates a watch.
     *
     * @param storeMillis the time of the store, none before it is known
     */
    SubmissionWatch(
            TimeSource time, Supplier<Option<Long>> storeMillis, Consumer<VersionEvent> events) {
        mTime = time;
        mStoreMillis = storeMillis;
        mEvents = events;
    }

    @Override
    public void onBatchStatesChanged(List<VersionedState> states, List<String> removed) {
        List<SubmissionLoad> changed = new ArrayList<>();
        for (VersionedState row : states) {
            BatchState state = row.state();
            int open = state.isOpen() ? state.itemCount() - state.resultCount() : 0;
            int part = parts(state, open);
            Integer reported = mReportedParts.put(state.id(), part);
            boolean news = reported == null || reported != part;
            if (news && !state.content().model().isEmpty()) {
                changed.add(load(state, open));
            }
        }
        List<String> gone =
                removed.stream().filter(id -> mReportedParts.remove(id) != null).toList();
        if (!changed.isEmpty() || !gone.isEmpty()) {
            mEvents.accept(new VersionEvent.SubmissionsChanged(changed, gone));
        }
    }

    /** Returns how many parts of a submission are open, rounded up. */
    private static int parts(BatchState state, int openItems) {
        int items = Math.max(1, state.itemCount());
        return (PROGRESS_PARTS * openItems + items - 1) / items;
    }

    private SubmissionLoad load(BatchState state, int openItems) {
        long ageMillis =
                mStoreMillis
                        .get()
                        .map(now -> Math.max(0, now - state.submittedMillis()))
                        .getOrElse(0L);
        return new SubmissionLoad(
                state.id(),
                state.content().model(),
                state.content().expectedTokens(),
                state.itemCount(),
                openItems,
                mTime.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ageMillis));
    }
}
