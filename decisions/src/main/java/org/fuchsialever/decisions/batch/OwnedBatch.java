package org.fuchsialever.decisions.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.kernel.duty.ActionSink;
import org.jspecify.annotations.Nullable;

/** State of a submission that this instance owns: open items, finished results and commits. */
final class OwnedBatch {
    /** Stays below the store's limit of 100 entries per commit, including the state row. */
    private static final int MAX_RESULTS_PER_COMMIT = 40;

    /** Keeps a commit below the store's limit of 1 MB per request after text encoding. */
    private static final int MAX_CHARACTERS_PER_COMMIT = 400_000;

    /** Items of one submission share a due time; a finer unit leaves room to order them. */
    private static final long MICROS_PER_MILLI = 1_000;

    private final BatchSpec spec;
    private final long dueMicros;
    private final long giveUpNanos;
    private final boolean singleVersion;
    private final Set<Integer> unfinished = new HashSet<>();
    private final Map<Integer, GeneratedText> texts = new HashMap<>();
    private final Deque<ItemResult> finishedResults = new ArrayDeque<>();
    private BatchState state;
    private long version;
    private BatchAction.@Nullable Commit pendingCommit;
    private boolean releasing;
    private long lastCommitNanos;
    private long retryAtNanos = Long.MAX_VALUE;

    OwnedBatch(BatchEvent.OpenedBatch opened, long now) {
        this.spec = opened.spec();
        this.state = opened.state();
        this.version = opened.version();
        this.dueMicros = opened.dueAtMillis() * MICROS_PER_MILLI;
        this.giveUpNanos = opened.abandonAtNanos();
        this.singleVersion = opened.singleVersion();
        this.lastCommitNanos = now;
        for (int item = 0; item < spec.items().size(); item++) {
            if (!opened.finishedItems().contains(spec.items().get(item).id())) {
                unfinished.add(item);
            }
        }
    }

    String id() {
        return spec.id();
    }

    BatchState state() {
        return state;
    }

    long version() {
        return version;
    }

    long giveUpNanos() {
        return giveUpNanos;
    }

    long retryAtNanos() {
        return retryAtNanos;
    }

    long lastCommitNanos() {
        return lastCommitNanos;
    }

    boolean isReleasing() {
        return releasing;
    }

    /** Starts generation of all items without a result. */
    void start(ActionSink<BatchAction> actions) {
        for (int item = 0; item < spec.items().size(); item++) {
            if (unfinished.contains(item)) {
                generate(item, actions);
            }
        }
    }

    private void generate(int item, ActionSink<BatchAction> actions) {
        actions.emit(new BatchAction.Generate(spec, state, item, dueMicros + item));
    }

    void generated(int item, String text, List<Long> versions, ActionSink<BatchAction> actions) {
        if (!unfinished.contains(item)) {
            return;
        }
        boolean tooOld = versions.stream().anyMatch(used -> used < spec.minVersion());
        boolean mixed = singleVersion && versions.size() > 1;
        if (versions.isEmpty() || tooOld || mixed) {
            generate(item, actions);
            return;
        }
        texts.put(item, new GeneratedText(text, versions));
        BatchItem subject = spec.items().get(item);
        if (subject.scoringCall().isDefined()) {
            actions.emit(
                    new BatchAction.Score(
                            spec, item, subject.scoringCall().get(), dueMicros + item));
        } else {
            scored(item, "");
        }
    }

    void scored(int item, String score) {
        GeneratedText text = texts.remove(item);
        if (text != null && unfinished.remove(item)) {
            finishedResults.add(
                    new ItemResult(
                            spec.items().get(item).id(), true, text.text, text.versions, score));
        }
    }

    void failed(int item) {
        texts.remove(item);
        if (unfinished.remove(item)) {
            finishedResults.add(ItemResult.abandoned(spec.items().get(item).id()));
        }
    }

    /** Stops all items without a result and lists them as abandoned. */
    void abandonUnfinished(ActionSink<BatchAction> actions) {
        for (int item : List.copyOf(unfinished)) {
            actions.emit(new BatchAction.Stop(id(), item));
            failed(item);
        }
    }

    /** Writes finished results, or the state row alone as a heartbeat; one commit at a time. */
    void commit(long now, ActionSink<BatchAction> actions) {
        if (pendingCommit != null) {
            return;
        }
        List<ItemResult> results = new ArrayList<>();
        int characters = 0;
        while (!finishedResults.isEmpty()
                && results.size() < MAX_RESULTS_PER_COMMIT
                && characters < MAX_CHARACTERS_PER_COMMIT) {
            ItemResult next = finishedResults.remove();
            characters += next.text().length();
            results.add(next);
        }
        BatchState next = state.withResultCount(state.resultCount() + results.size());
        if (releasing && finishedResults.isEmpty()) {
            next = next.withOwner("", "");
        }
        pendingCommit = new BatchAction.Commit(next, version, state.resultCount(), results);
        lastCommitNanos = now;
        retryAtNanos = Long.MAX_VALUE;
        actions.emit(pendingCommit);
    }

    boolean hasFinishedResults() {
        return !finishedResults.isEmpty();
    }

    void committed(long newVersion) {
        if (pendingCommit != null) {
            state = pendingCommit.state();
            version = newVersion;
            pendingCommit = null;
        }
    }

    /** Returns whether the current state shows that the unanswered commit was applied. */
    boolean wasCommitApplied(BatchState current) {
        BatchAction.Commit sent = pendingCommit;
        return sent != null && !sent.results().isEmpty() && sent.state().equals(current);
    }

    /** Repeats the commit on top of the row version that another writer created. */
    void rebaseCommit(long newVersion, long now, ActionSink<BatchAction> actions) {
        BatchAction.Commit unanswered = pendingCommit;
        if (unanswered != null) {
            version = newVersion;
            pendingCommit =
                    new BatchAction.Commit(
                            unanswered.state(),
                            newVersion,
                            unanswered.firstPosition(),
                            unanswered.results());
            lastCommitNanos = now;
            actions.emit(pendingCommit);
        }
    }

    /** Repeats an unanswered commit unchanged, so that it cannot be applied twice. */
    void repeatCommit(long now, ActionSink<BatchAction> actions) {
        BatchAction.Commit unanswered = pendingCommit;
        if (unanswered != null) {
            retryAtNanos = Long.MAX_VALUE;
            lastCommitNanos = now;
            actions.emit(unanswered);
        }
    }

    void scheduleRepeat(long nanos) {
        retryAtNanos = nanos;
    }

    void release(ActionSink<BatchAction> actions) {
        releasing = true;
        stopAll(actions);
    }

    void stopAll(ActionSink<BatchAction> actions) {
        unfinished.forEach(item -> actions.emit(new BatchAction.Stop(id(), item)));
        unfinished.clear();
        texts.clear();
    }

    private record GeneratedText(String text, List<Long> versions) {}
}
