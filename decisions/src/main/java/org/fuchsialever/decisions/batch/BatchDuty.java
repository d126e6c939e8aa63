package org.fuchsialever.decisions.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.jspecify.annotations.Nullable;

/**
 * Runs the items of the submissions that this instance owns, gives results their positions and
 * takes over submissions whose owner no longer writes.
 */
public final class BatchDuty implements Duty<BatchEvent, BatchAction> {
    /** An owner without new results writes this often, three times within the silence. */
    private static final long SIGN_OF_LIFE = TimeUnit.MILLISECONDS.toNanos(900);

    /** An owner that has not written for this long is gone: three signs of life are missing. */
    private static final long OWNER_SILENCE = TimeUnit.MILLISECONDS.toNanos(2_800);

    /** The same for an owner whose own signs of life have stopped as well. */
    private static final long DEAD_OWNER_SILENCE = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** An instance that does not begin a placed submission within this time does not know it. */
    private static final long PLACEMENT_SILENCE = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Each instance waits this long for each one that is ranked before it. */
    private static final long CLAIM_STEP = TimeUnit.MILLISECONDS.toNanos(120);

    private static final int MOST_CLAIM_STEPS = 4;

    /** Items go on for this long after shutdown has begun; most of them end within it. */
    private static final long DRAIN_PERIOD = TimeUnit.MILLISECONDS.toNanos(2_400);

    private static final long CHECK_INTERVAL = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long COMMIT_RETRY = TimeUnit.MILLISECONDS.toNanos(200);

    private final String instance;
    private final String start;
    private final RandomGenerator random;
    private final Map<String, Watched> watched = new HashMap<>();
    private final Map<String, OwnedBatch> owned = new HashMap<>();
    private final Set<String> claiming = new HashSet<>();
    private final Set<String> placed = new HashSet<>();
    private List<Peer> peers = List.of();
    private long contactSince = Long.MAX_VALUE;
    private boolean contact;
    private boolean draining;
    private long releaseAt = NO_TIMER;
    private boolean drainedReported;
    private long nextCheck = NO_TIMER;

    /**
     * Creates a duty.
     *
     * @param instance the name of this instance
     * @param start identity of this process
     * @param random source of the spread
     */
    public BatchDuty(String instance, String start, RandomGenerator random) {
        this.instance = instance;
        this.start = start;
        this.random = random;
    }

    @Override
    public String dutyName() {
        return "batch";
    }

    @Override
    public void onEvent(BatchEvent event, long nowNanos, ActionSink<BatchAction> actions) {
        if (event instanceof BatchEvent.StatesChanged changed) {
            headsChanged(changed, nowNanos, actions);
        } else if (event instanceof BatchEvent.StoreReachability state) {
            contactChanged(state.reachable(), nowNanos);
        } else if (event instanceof BatchEvent.Opened opened) {
            opened(opened.batch(), nowNanos, actions);
        } else if (event instanceof BatchEvent.PeersChanged changed) {
            peers = changed.peers();
        } else if (event instanceof BatchEvent.Placed submission) {
            placed.add(submission.id());
        } else if (event instanceof BatchEvent.ClaimFailed failed) {
            claiming.remove(failed.id());
        } else if (event instanceof BatchEvent.Draining) {
            drain(nowNanos, actions);
        } else {
            ownedEvent(event, nowNanos, actions);
        }
        schedule(nowNanos);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<BatchAction> actions) {
        for (OwnedBatch batch : List.copyOf(owned.values())) {
            if (nowNanos >= batch.giveUpNanos()) {
                batch.giveUpRest(actions);
            }
            if (batch.retryAt() <= nowNanos) {
                batch.repeat(nowNanos, actions);
            } else if (batch.hasFinished() || nowNanos - batch.lastCommit() >= SIGN_OF_LIFE) {
                batch.commit(nowNanos, actions);
            }
        }
        if (contact && !draining) {
            watched.values().forEach(head -> claimIfAbandoned(head, nowNanos, actions));
        }
        if (releaseAt <= nowNanos) {
            releaseAt = NO_TIMER;
            releaseAll(nowNanos, actions);
        }
        nextCheck = NO_TIMER;
        schedule(nowNanos);
    }

    @Override
    public long nextTimerNanos() {
        return nextCheck;
    }

    private void schedule(long now) {
        boolean openElsewhere = watched.values().stream().anyMatch(head -> head.head.isOpen());
        if (nextCheck == NO_TIMER && (!owned.isEmpty() || openElsewhere)) {
            nextCheck = now + CHECK_INTERVAL;
        }
    }

    private void contactChanged(boolean present, long now) {
        if (present && !contact) {
            contactSince = now;
        }
        contact = present;
    }

    private void headsChanged(
            BatchEvent.StatesChanged changed, long now, ActionSink<BatchAction> actions) {
        for (BatchEvent.VersionedState row : changed.states()) {
            String id = row.state().id();
            Watched former = watched.get(id);
            if (former != null && former.version >= row.version()) {
                continue;
            }
            watched.put(id, new Watched(row.state(), row.version(), now, former == null));
            OwnedBatch batch = owned.get(id);
            if (batch != null && row.state().ended()) {
                close(batch, "ended", actions);
            }
        }
        for (String id : changed.removed()) {
            watched.remove(id);
            placed.remove(id);
            OwnedBatch batch = owned.get(id);
            if (batch != null) {
                close(batch, "removed", actions);
            }
        }
        if (contact && !draining) {
            watched.values().forEach(head -> claimIfAbandoned(head, now, actions));
        }
    }

    private void claimIfAbandoned(Watched row, long now, ActionSink<BatchAction> actions) {
        BatchState head = row.head;
        String id = head.id();
        if (!head.isOpen() || owned.containsKey(id) || claiming.contains(id)) {
            return;
        }
        if (head.isOwnedBy(instance, start)) {
            claiming.add(id);
            actions.emit(new BatchAction.Claim(head, row.version, "PLACED_HERE"));
            return;
        }
        long silentFor = now - Math.max(row.changedAt, contactSince);
        AbandonReason reason = abandonReason(row);
        if (silentFor >= reason.silence + claimDelay(id)) {
            claiming.add(id);
            actions.emit(
                    new BatchAction.Claim(
                            head.withOwner(instance, start), row.version, reason.name()));
        }
    }

    private AbandonReason abandonReason(Watched row) {
        BatchState head = row.head;
        // A submission that an earlier process of this instance ran has no owner any more.
        if (head.owner().equals(instance)) {
            return AbandonReason.OWNER_RESTARTED;
        }
        if (head.owner().isEmpty()) {
            return AbandonReason.RELEASED;
        }
        if (row.untouched && placed.contains(head.id())) {
            return AbandonReason.NEVER_STARTED;
        }
        boolean alive = peers.contains(new Peer(head.owner(), head.ownerStartId()));
        return alive ? AbandonReason.OWNER_SILENT : AbandonReason.OWNER_DEAD;
    }

    private long claimDelay(String id) {
        List<Peer> ranked = Peer.ranked(peers, id);
        int rank = Math.max(0, ranked.indexOf(new Peer(instance, start)));
        return Math.min(rank, MOST_CLAIM_STEPS) * CLAIM_STEP;
    }

    private void opened(BatchEvent.OpenedBatch opened, long now, ActionSink<BatchAction> actions) {
        String id = opened.spec().id();
        claiming.remove(id);
        Watched row = watched.get(id);
        boolean endedMeanwhile = row != null && row.head.ended();
        if (owned.containsKey(id) || endedMeanwhile) {
            return;
        }
        OwnedBatch batch = new OwnedBatch(opened, now);
        owned.put(id, batch);
        if (draining && releaseAt == NO_TIMER) {
            batch.release(actions);
            batch.commit(now, actions);
        } else {
            batch.start(actions);
        }
    }

    private void ownedEvent(BatchEvent event, long now, ActionSink<BatchAction> actions) {
        if (event instanceof BatchEvent.Generated done) {
            OwnedBatch batch = owned.get(done.id());
            if (batch != null) {
                batch.generated(done.item(), done.text(), done.versions(), actions);
                commitFinished(batch, now, actions);
            }
        } else if (event instanceof BatchEvent.GenerationFailed failed) {
            itemFailed(failed.id(), failed.item(), now, actions);
        } else if (event instanceof BatchEvent.ScoringFailed failed) {
            itemFailed(failed.id(), failed.item(), now, actions);
        } else if (event instanceof BatchEvent.Scored scored) {
            OwnedBatch batch = owned.get(scored.id());
            if (batch != null) {
                batch.scored(scored.item(), scored.score());
                commitFinished(batch, now, actions);
            }
        } else {
            commitEvent(event, now, actions);
        }
    }

    private void itemFailed(String id, int item, long now, ActionSink<BatchAction> actions) {
        OwnedBatch batch = owned.get(id);
        if (batch != null) {
            batch.failed(item);
            commitFinished(batch, now, actions);
        }
    }

    private static void commitFinished(
            OwnedBatch batch, long now, ActionSink<BatchAction> actions) {
        if (batch.hasFinished()) {
            batch.commit(now, actions);
        }
    }

    private void commitEvent(BatchEvent event, long now, ActionSink<BatchAction> actions) {
        if (event instanceof BatchEvent.Committed committed) {
            OwnedBatch batch = owned.get(committed.id());
            if (batch != null) {
                batch.committed(committed.version());
                afterCommit(batch, now, actions);
            }
        } else if (event instanceof BatchEvent.Conflicted conflicted) {
            OwnedBatch batch = owned.get(conflicted.id());
            if (batch != null) {
                conflicted(batch, conflicted.present().getOrNull(), now, actions);
            }
        } else if (event instanceof BatchEvent.CommitFailed failed) {
            OwnedBatch batch = owned.get(failed.id());
            if (batch != null) {
                batch.repeatAt(now + COMMIT_RETRY / 2 + random.nextLong(COMMIT_RETRY));
            }
        }
    }

    private void afterCommit(OwnedBatch batch, long now, ActionSink<BatchAction> actions) {
        // The mirror lags behind, and an older head would look abandoned once this one is closed.
        watched.put(batch.id(), new Watched(batch.head(), batch.version(), now, false));
        if (batch.head().isComplete()) {
            close(batch, "complete", actions);
        } else if (batch.head().owner().isEmpty()) {
            close(batch, "released", actions);
        } else if (batch.hasFinished() || batch.isReleasing()) {
            batch.commit(now, actions);
        }
    }

    private void conflicted(
            OwnedBatch batch,
            BatchEvent.@Nullable VersionedState present,
            long now,
            ActionSink<BatchAction> actions) {
        if (present == null) {
            close(batch, "removed", actions);
        } else if (present.state().ended()) {
            close(batch, "ended", actions);
        } else if (present.state().epoch() != batch.head().epoch()) {
            close(batch, "taken-over", actions);
        } else if (batch.isEffectOfCommit(present.state())) {
            batch.committed(present.version());
            afterCommit(batch, now, actions);
        } else if (present.state().resultCount() == batch.head().resultCount()) {
            batch.recommit(present.version(), now, actions);
        } else {
            // The submission was opened from an old view; its present head is read again.
            close(batch, "outdated", actions);
        }
    }

    private void close(OwnedBatch batch, String reason, ActionSink<BatchAction> actions) {
        batch.stopAll(actions);
        owned.remove(batch.id());
        actions.emit(new BatchAction.Closed(batch.id(), reason));
        reportDrained(actions);
    }

    private void drain(long now, ActionSink<BatchAction> actions) {
        draining = true;
        releaseAt = now + DRAIN_PERIOD;
        reportDrained(actions);
    }

    private void releaseAll(long now, ActionSink<BatchAction> actions) {
        for (OwnedBatch batch : List.copyOf(owned.values())) {
            batch.release(actions);
            batch.commit(now, actions);
        }
        reportDrained(actions);
    }

    private void reportDrained(ActionSink<BatchAction> actions) {
        if (draining && owned.isEmpty() && !drainedReported) {
            drainedReported = true;
            actions.emit(new BatchAction.Drained());
        }
    }

    private record Watched(BatchState head, long version, long changedAt, boolean untouched) {}

    /** Why a submission is taken over, and after which silence. */
    private enum AbandonReason {
        OWNER_RESTARTED(0),
        RELEASED(0),
        NEVER_STARTED(PLACEMENT_SILENCE),
        OWNER_DEAD(DEAD_OWNER_SILENCE),
        OWNER_SILENT(OWNER_SILENCE);

        private final long silence;

        AbandonReason(long silence) {
            this.silence = silence;
        }
    }
}
