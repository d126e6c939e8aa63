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

/** A submission that this instance runs. */
final class OwnedBatch {
    /** Below the store's limit of 100 entries, with room for the head. */
    private static final int MOST_RESULTS_PER_COMMIT = 40;

    /** Below the store's limit of 1 MB a call after its text encoding. */
    private static final int MOST_CHARACTERS_PER_COMMIT = 400_000;

    /** Microseconds per millisecond, so that the order of items refines the due time. */
    private static final long URGENCY_SCALE = 1_000;

    private final BatchSpec spec;
    private final long urgency;
    private final long giveUpNanos;
    private final boolean singleVersion;
    private final Set<Integer> active = new HashSet<>();
    private final Map<Integer, Text> texts = new HashMap<>();
    private final Deque<ItemResult> finished = new ArrayDeque<>();
    private BatchState head;
    private long version;
    private BatchAction.@Nullable Commit commit;
    private boolean releasing;
    private long lastCommit;
    private long retryAt = Long.MAX_VALUE;

    OwnedBatch(BatchEvent.OpenedBatch opened, long now) {
        this.spec = opened.spec();
        this.head = opened.state();
        this.version = opened.version();
        this.urgency = opened.dueAtMillis() * URGENCY_SCALE;
        this.giveUpNanos = opened.abandonAtNanos();
        this.singleVersion = opened.singleVersion();
        this.lastCommit = now;
        for (int item = 0; item < spec.items().size(); item++) {
            if (!opened.finishedItems().contains(spec.items().get(item).id())) {
                active.add(item);
            }
        }
    }

    String id() {
        return spec.id();
    }

    BatchState head() {
        return head;
    }

    long version() {
        return version;
    }

    long giveUpNanos() {
        return giveUpNanos;
    }

    long retryAt() {
        return retryAt;
    }

    long lastCommit() {
        return lastCommit;
    }

    boolean isReleasing() {
        return releasing;
    }

    /** Starts all items that have no result. */
    void start(ActionSink<BatchAction> actions) {
        for (int item = 0; item < spec.items().size(); item++) {
            if (active.contains(item)) {
                generate(item, actions);
            }
        }
    }

    private void generate(int item, ActionSink<BatchAction> actions) {
        actions.emit(new BatchAction.Generate(spec, head, item, urgency + item));
    }

    void generated(int item, String text, List<Long> versions, ActionSink<BatchAction> actions) {
        if (!active.contains(item)) {
            return;
        }
        boolean tooOld = versions.stream().anyMatch(used -> used < spec.minVersion());
        boolean mixed = singleVersion && versions.size() > 1;
        if (versions.isEmpty() || tooOld || mixed) {
            generate(item, actions);
            return;
        }
        texts.put(item, new Text(text, versions));
        BatchItem subject = spec.items().get(item);
        if (subject.scoringCall().isDefined()) {
            actions.emit(
                    new BatchAction.Score(spec, item, subject.scoringCall().get(), urgency + item));
        } else {
            scored(item, "");
        }
    }

    void scored(int item, String score) {
        Text text = texts.remove(item);
        if (text != null && active.remove(item)) {
            finished.add(
                    new ItemResult(
                            spec.items().get(item).id(), true, text.text, text.versions, score));
        }
    }

    void failed(int item) {
        texts.remove(item);
        if (active.remove(item)) {
            finished.add(ItemResult.abandoned(spec.items().get(item).id()));
        }
    }

    /** Gives up all items that have no result. */
    void giveUpRest(ActionSink<BatchAction> actions) {
        for (int item : List.copyOf(active)) {
            actions.emit(new BatchAction.Stop(id(), item));
            failed(item);
        }
    }

    /** Writes finished results, or only the head as a sign of life. */
    void commit(long now, ActionSink<BatchAction> actions) {
        if (commit != null) {
            return;
        }
        List<ItemResult> results = new ArrayList<>();
        int characters = 0;
        while (!finished.isEmpty()
                && results.size() < MOST_RESULTS_PER_COMMIT
                && characters < MOST_CHARACTERS_PER_COMMIT) {
            ItemResult next = finished.remove();
            characters += next.text().length();
            results.add(next);
        }
        BatchState next = head.withResultCount(head.resultCount() + results.size());
        if (releasing && finished.isEmpty()) {
            next = next.withOwner("", "");
        }
        commit = new BatchAction.Commit(next, version, head.resultCount(), results);
        lastCommit = now;
        retryAt = Long.MAX_VALUE;
        actions.emit(commit);
    }

    boolean hasFinished() {
        return !finished.isEmpty();
    }

    void committed(long newVersion) {
        if (commit != null) {
            head = commit.state();
            version = newVersion;
            commit = null;
        }
    }

    /** Returns whether the present head shows that the unanswered commit took effect. */
    boolean isEffectOfCommit(BatchState present) {
        BatchAction.Commit sent = commit;
        return sent != null && !sent.results().isEmpty() && sent.state().equals(present);
    }

    /** Writes the same commit again under the version that another writer left. */
    void recommit(long newVersion, long now, ActionSink<BatchAction> actions) {
        BatchAction.Commit former = commit;
        if (former != null) {
            version = newVersion;
            commit =
                    new BatchAction.Commit(
                            former.state(), newVersion, former.firstPosition(), former.results());
            lastCommit = now;
            actions.emit(commit);
        }
    }

    /** Repeats an unanswered commit unchanged, so that it cannot take effect twice. */
    void repeat(long now, ActionSink<BatchAction> actions) {
        BatchAction.Commit former = commit;
        if (former != null) {
            retryAt = Long.MAX_VALUE;
            lastCommit = now;
            actions.emit(former);
        }
    }

    void repeatAt(long nanos) {
        retryAt = nanos;
    }

    void release(ActionSink<BatchAction> actions) {
        releasing = true;
        stopAll(actions);
    }

    void stopAll(ActionSink<BatchAction> actions) {
        active.forEach(item -> actions.emit(new BatchAction.Stop(id(), item)));
        active.clear();
        texts.clear();
    }

    private record Text(String text, List<Long> versions) {}
}
