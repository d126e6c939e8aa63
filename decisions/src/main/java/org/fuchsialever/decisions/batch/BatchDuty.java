package org.fuchsialever.decisions.batch;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.decisions.queue.OpenWork;
import org.fuchsialever.decisions.queue.PoolProgress;
import org.fuchsialever.decisions.queue.StepPressure;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.jspecify.annotations.Nullable;

/**
 * Runs the items of the submissions that this instance owns, assigns positions to their results and
 * takes over submissions whose owner has stopped writing.
 */
public final class BatchDuty implements Duty<BatchEvent, BatchAction> {
    /** Interval at which an owner without results writes the state row: three per timeout. */
    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** An owner that has not written for this long has missed three heartbeats and is replaced. */
    private static final long OWNER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_800);

    /** Shorter timeout for an owner whose process is not in the list of live instances either. */
    private static final long DEAD_OWNER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** An instance that has not begun an assigned submission by then has not learned of it. */
    private static final long PLACEMENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Delay per instance with a better rank, so that normally only the best-ranked one claims. */
    private static final long CLAIM_DELAY_PER_RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

    private static final int MAX_DELAYED_RANKS = 4;

    /** Instances outside the working set spread their claims over this many further delays. */
    private static final int OUTSIDE_PLACES = 16;

    /** Items continue for this long after shutdown has begun; most of them finish within it. */
    private static final long DRAIN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long COMMIT_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final String mInstance;
    private final String mStartId;
    private final RandomGenerator mRandom;
    private final Map<String, ObservedState> mObserved = new HashMap<>();
    private final Map<String, OwnedBatch> mOwned = new HashMap<>();
    private final ContentBudget mBudget;
    private final Set<String> mPlaced = new HashSet<>();
    private final AwaitedRoutes mAwaitedRoutes = new AwaitedRoutes();
    private final PoolProgress mProgress = new PoolProgress();
    private Map<String, Double> mTeamWeights = Map.of();
    private List<Peer> mPeers = List.of();
    private Option<Manifest> mManifest = Option.none();

    /** Before the manifest is read, submissions have the limits with which they were opened. */
    private long mManifestAsOf = Long.MAX_VALUE;

    private long mReachableSince = Long.MAX_VALUE;
    private int mOpenings;
    private boolean mStoreReachable;
    private boolean mDraining;
    private long mReleaseAt = NO_TIMER;
    private boolean mDrainedReported;
    private long mNextCheck = NO_TIMER;

    /** Creates a duty that owns submissions of any size. */
    public BatchDuty(String instance, String startId, RandomGenerator random) {
        this(instance, startId, random, Long.MAX_VALUE);
    }

    /**
     * Creates a duty.
     *
     * @param instance the name of this instance
     * @param startId ID of this process, which differs after a restart
     * @param random source of the jitter of retries
     * @param maxContentBytes memory for the contents of submissions that it owns, in bytes
     */
    public BatchDuty(
            String instance, String startId, RandomGenerator random, long maxContentBytes) {
        mInstance = instance;
        mStartId = startId;
        mRandom = random;
        mBudget = new ContentBudget(maxContentBytes);
    }

    @Override
    public String dutyName() {
        return "batch";
    }

    @Override
    public void onEvent(BatchEvent event, long nowNanos, ActionSink<BatchAction> actions) {
        if (event instanceof BatchEvent.StatesChanged changed) {
            statesChanged(changed, nowNanos, actions);
        } else if (event instanceof BatchEvent.StoreReachability state) {
            reachabilityChanged(state.reachable(), nowNanos);
        } else if (event instanceof BatchEvent.Opened opened) {
            opened(opened.batch(), nowNanos, actions);
        } else if (event instanceof BatchEvent.ManifestRead read) {
            manifestRead(read.manifest(), read.asOfNanos(), actions);
        } else if (event instanceof BatchEvent.RouteMissing missing) {
            mAwaitedRoutes.missing(missing.batch(), nowNanos, actions);
        } else if (event instanceof BatchEvent.PeersChanged changed) {
            mPeers = changed.peers();
        } else if (event instanceof BatchEvent.Placed submission) {
            mPlaced.add(submission.id());
        } else if (event instanceof BatchEvent.ClaimFailed failed) {
            mBudget.endLoading(failed.id());
        } else if (event instanceof BatchEvent.Draining) {
            drain(nowNanos, actions);
        } else {
            ownedEvent(event, nowNanos, actions);
        }
        ItemWindow.startWaiting(mOwned.values(), actions);
        scheduleCheck(nowNanos);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<BatchAction> actions) {
        for (OwnedBatch batch : List.copyOf(mOwned.values())) {
            // A newer manifest may allow more time, so the limit is read again once it is over.
            if (Math.min(nowNanos, mManifestAsOf) >= batch.giveUpNanos()) {
                batch.abandonUnfinished(actions);
            }
            batch.repeatDeferred(actions);
            if (batch.retryAtNanos() <= nowNanos) {
                batch.repeatCommit(nowNanos, actions);
            } else if (batch.hasFinishedResults()
                    || nowNanos - batch.lastCommitNanos() >= HEARTBEAT_INTERVAL_NANOS) {
                batch.commit(nowNanos, actions);
            }
        }
        claimAbandoned(nowNanos, actions);
        if (mReleaseAt <= nowNanos) {
            mReleaseAt = NO_TIMER;
            releaseAll(nowNanos, actions);
        }
        ItemWindow.startWaiting(mOwned.values(), actions);
        reportTeamWeights(actions);
        mNextCheck = NO_TIMER;
        scheduleCheck(nowNanos);
    }

    @Override
    public long nextTimerNanos() {
        return mNextCheck;
    }

    private void scheduleCheck(long now) {
        boolean openElsewhere = mObserved.values().stream().anyMatch(row -> row.state.isOpen());
        if (mNextCheck == NO_TIMER && (!mOwned.isEmpty() || openElsewhere)) {
            mNextCheck = now + CHECK_INTERVAL_NANOS;
        }
    }

    private void manifestRead(Manifest manifest, long asOfNanos, ActionSink<BatchAction> actions) {
        mManifestAsOf = asOfNanos;
        mAwaitedRoutes.manifestRead(manifest, asOfNanos, actions);
        if (!mManifest.exists(known -> known.version() >= manifest.version())) {
            mManifest = Option.some(manifest);
            mOwned.values().forEach(batch -> batch.applyLimits(manifest));
        }
    }

    private void reachabilityChanged(boolean reachable, long now) {
        if (reachable && !mStoreReachable) {
            mReachableSince = now;
        }
        mStoreReachable = reachable;
    }

    private void statesChanged(
            BatchEvent.StatesChanged changed, long now, ActionSink<BatchAction> actions) {
        for (BatchEvent.VersionedState row : changed.states()) {
            String id = row.state().id();
            ObservedState previous = mObserved.get(id);
            if (previous != null && previous.version >= row.version()) {
                continue;
            }
            mObserved.put(id, new ObservedState(row.state(), row.version(), now, previous == null));
            observeProgress(row.state(), now);
            OwnedBatch batch = mOwned.get(id);
            if (batch != null && row.state().ended()) {
                closeEnded(batch, row.state(), actions);
            }
        }
        for (String id : changed.removed()) {
            mObserved.remove(id);
            mProgress.remove(id);
            mPlaced.remove(id);
            mAwaitedRoutes.remove(id);
            mBudget.endLoading(id);
            OwnedBatch batch = mOwned.get(id);
            if (batch != null) {
                close(batch, "removed", actions);
            }
        }
        claimAbandoned(now, actions);
    }

    /** The oldest submissions come first, because the room for their contents may be short. */
    private void claimAbandoned(long now, ActionSink<BatchAction> actions) {
        if (!mStoreReachable || mDraining) {
            return;
        }
        mObserved.values().stream()
                .filter(row -> row.state.isOpen() && !mOwned.containsKey(row.state.id()))
                .filter(row -> !mBudget.isLoading(row.state.id()))
                .sorted(Comparator.comparingLong(row -> row.state.submittedMillis()))
                .forEach(row -> claimIfAbandoned(row, now, actions));
    }

    private void claimIfAbandoned(ObservedState row, long now, ActionSink<BatchAction> actions) {
        BatchState state = row.state;
        String id = state.id();
        if (!mBudget.admitsLoading(state)) {
            return;
        }
        if (state.isOwnedBy(mInstance, mStartId)) {
            mBudget.startLoading(state);
            actions.emit(new BatchAction.Claim(state, row.version, "PLACED_HERE"));
            return;
        }
        long silentFor = now - Math.max(row.changedAtNanos, mReachableSince);
        TakeoverReason reason = takeoverReason(row);
        if (silentFor >= reason.mTimeoutNanos + claimDelay(id)) {
            mBudget.startLoading(state);
            actions.emit(
                    new BatchAction.Claim(
                            state.withOwner(mInstance, mStartId), row.version, reason.name()));
        }
    }

    private TakeoverReason takeoverReason(ObservedState row) {
        BatchState state = row.state;
        // This process does not own it, so an earlier process of this instance did and has ended.
        if (state.owner().equals(mInstance)) {
            return TakeoverReason.OWNER_RESTARTED;
        }
        if (state.owner().isEmpty()) {
            return TakeoverReason.RELEASED;
        }
        if (row.neverUpdated && mPlaced.contains(state.id())) {
            return TakeoverReason.NEVER_STARTED;
        }
        boolean alive = mPeers.contains(new Peer(state.owner(), state.ownerStartId()));
        return alive ? TakeoverReason.OWNER_SILENT : TakeoverReason.OWNER_DEAD;
    }

    private long claimDelay(String id) {
        Peer self = new Peer(mInstance, mStartId);
        if (mPeers.size() > MAX_DELAYED_RANKS && !mPeers.contains(self)) {
            // The members of the working set come first, then other instances one by one.
            int place = Math.floorMod((mInstance + id).hashCode(), OUTSIDE_PLACES);
            return (MAX_DELAYED_RANKS + 1 + place) * CLAIM_DELAY_PER_RANK_NANOS;
        }
        int rank = Math.max(0, Peer.ranked(mPeers, id).indexOf(self));
        return Math.min(rank, MAX_DELAYED_RANKS) * CLAIM_DELAY_PER_RANK_NANOS;
    }

    private void opened(BatchEvent.OpenedBatch opened, long now, ActionSink<BatchAction> actions) {
        String id = opened.spec().id();
        boolean fits = mBudget.admitsOpening(opened.state());
        mBudget.endLoading(id);
        ObservedState row = mObserved.get(id);
        boolean outdated =
                row != null && (row.state.ended() || row.state.epoch() > opened.state().epoch());
        if (mOwned.containsKey(id) || outdated) {
            return;
        }
        if (!fits) {
            actions.emit(new BatchAction.Closed(id, "no-room"));
            return;
        }
        OwnedBatch batch = new OwnedBatch(opened, mOpenings++, now);
        mOwned.put(id, batch);
        mBudget.open(opened.state());
        mManifest.forEach(batch::applyLimits);
        if (mDraining && mReleaseAt == NO_TIMER) {
            batch.release(actions);
            batch.commit(now, actions);
        } else {
            batch.queueItems(pressure(opened, now));
        }
    }

    /** Without rows of the other instances, the own submissions are all that is known. */
    private StepPressure pressure(BatchEvent.OpenedBatch opened, long now) {
        if (opened.poolSlots() <= 0) {
            return StepPressure.NONE;
        }
        observeProgress(opened.state(), now);
        int own = mOwned.values().stream().mapToInt(OwnedBatch::openItems).sum();
        int open = mStoreReachable ? Math.max(own, mProgress.openItems()) : own;
        double secondsLeft = (double) (opened.dueAtNanos() - now) / TimeUnit.SECONDS.toNanos(1);
        return new StepPressure(
                (double) open / opened.poolSlots(), mProgress.secondsToFinish(now), secondsLeft);
    }

    private void reportTeamWeights(ActionSink<BatchAction> actions) {
        boolean fair = mOwned.values().stream().anyMatch(OwnedBatch::isQueuedFairly);
        Map<String, Double> weights = fair && mStoreReachable ? mProgress.teamWeights() : Map.of();
        if (!weights.equals(mTeamWeights)) {
            mTeamWeights = weights;
            actions.emit(new BatchAction.WeighTeams(weights));
        }
    }

    private void observeProgress(BatchState state, long now) {
        int open = state.isOpen() ? state.itemCount() - state.resultCount() : 0;
        boolean own = state.isOwnedBy(mInstance, mStartId);
        mProgress.observe(
                state.id(), new OpenWork(state.team(), own, state.resultCount(), open), now);
    }

    private void ownedEvent(BatchEvent event, long now, ActionSink<BatchAction> actions) {
        if (event instanceof BatchEvent.Progressed part) {
            OwnedBatch batch = mOwned.get(part.id());
            if (batch != null) {
                batch.progressed(part);
            }
        } else if (event instanceof BatchEvent.Generated done) {
            OwnedBatch batch = mOwned.get(done.id());
            if (batch != null) {
                batch.generated(done.item(), done.text(), done.versions(), actions);
                commitFinished(batch, now, actions);
            }
        } else if (event instanceof BatchEvent.Deferred deferred) {
            OwnedBatch batch = mOwned.get(deferred.id());
            if (batch != null) {
                batch.deferred(deferred.item());
            }
        } else if (event instanceof BatchEvent.GenerationFailed failed) {
            itemFailed(failed.id(), failed.item(), now, actions);
        } else if (event instanceof BatchEvent.ScoringFailed failed) {
            itemFailed(failed.id(), failed.item(), now, actions);
        } else if (event instanceof BatchEvent.Scored scored) {
            OwnedBatch batch = mOwned.get(scored.id());
            if (batch != null) {
                batch.scored(scored.item(), scored.score());
                commitFinished(batch, now, actions);
            }
        } else {
            commitEvent(event, now, actions);
        }
    }

    private void itemFailed(String id, int item, long now, ActionSink<BatchAction> actions) {
        OwnedBatch batch = mOwned.get(id);
        if (batch != null) {
            batch.failed(item);
            commitFinished(batch, now, actions);
        }
    }

    private static void commitFinished(
            OwnedBatch batch, long now, ActionSink<BatchAction> actions) {
        if (batch.hasFinishedResults()) {
            batch.commit(now, actions);
        }
    }

    private void commitEvent(BatchEvent event, long now, ActionSink<BatchAction> actions) {
        if (event instanceof BatchEvent.Committed committed) {
            OwnedBatch batch = mOwned.get(committed.id());
            if (batch != null) {
                batch.committed(committed.version());
                afterCommit(batch, now, actions);
            }
        } else if (event instanceof BatchEvent.Conflicted conflicted) {
            OwnedBatch batch = mOwned.get(conflicted.id());
            if (batch != null) {
                conflicted(batch, conflicted.current().getOrNull(), now, actions);
            }
        } else if (event instanceof BatchEvent.CommitFailed failed) {
            OwnedBatch batch = mOwned.get(failed.id());
            if (batch != null) {
                batch.scheduleRepeat(
                        now
                                + COMMIT_RETRY_DELAY_NANOS / 2
                                + mRandom.nextLong(COMMIT_RETRY_DELAY_NANOS));
            }
        }
    }

    private void afterCommit(OwnedBatch batch, long now, ActionSink<BatchAction> actions) {
        // Mirrored rows lag behind; an older state would look abandoned once this batch is closed.
        mObserved.put(batch.id(), new ObservedState(batch.state(), batch.version(), now, false));
        observeProgress(batch.state(), now);
        if (batch.state().isComplete()) {
            close(batch, "complete", actions);
        } else if (batch.state().owner().isEmpty()) {
            close(batch, "released", actions);
        } else if (batch.hasFinishedResults() || batch.isReleasing()) {
            batch.commit(now, actions);
        }
    }

    private void conflicted(
            OwnedBatch batch,
            BatchEvent.@Nullable VersionedState current,
            long now,
            ActionSink<BatchAction> actions) {
        if (current == null) {
            close(batch, "removed", actions);
        } else if (current.state().ended()) {
            closeEnded(batch, current.state(), actions);
        } else if (current.state().epoch() != batch.state().epoch()) {
            close(batch, "taken-over", actions);
        } else if (batch.wasCommitApplied(current.state())) {
            batch.committed(current.version());
            afterCommit(batch, now, actions);
        } else if (current.state().resultCount() == batch.state().resultCount()) {
            batch.rebaseCommit(current.version(), now, actions);
        } else {
            // The submission was opened from a stale state; the current one is read again.
            close(batch, "outdated", actions);
        }
    }

    /** The trainer may submit the items without a result again, so their texts are kept. */
    private void closeEnded(OwnedBatch batch, BatchState current, ActionSink<BatchAction> actions) {
        if (current.epoch() == batch.state().epoch()) {
            batch.keepTexts(actions);
        }
        close(batch, "ended", actions);
    }

    private void close(OwnedBatch batch, String reason, ActionSink<BatchAction> actions) {
        batch.stopAll(actions);
        mOwned.remove(batch.id());
        mBudget.close(batch.id());
        actions.emit(new BatchAction.Closed(batch.id(), reason));
        reportDrained(actions);
    }

    private void drain(long now, ActionSink<BatchAction> actions) {
        mDraining = true;
        mReleaseAt = now + DRAIN_PERIOD_NANOS;
        reportDrained(actions);
    }

    private void releaseAll(long now, ActionSink<BatchAction> actions) {
        for (OwnedBatch batch : List.copyOf(mOwned.values())) {
            batch.release(actions);
            batch.commit(now, actions);
        }
        reportDrained(actions);
    }

    private void reportDrained(ActionSink<BatchAction> actions) {
        if (mDraining && mOwned.isEmpty() && !mDrainedReported) {
            mDrainedReported = true;
            actions.emit(new BatchAction.Drained());
        }
    }

    private record ObservedState(
            BatchState state, long version, long changedAtNanos, boolean neverUpdated) {}

    /** Why a submission is taken over, with the time without writes that this reason requires. */
    private enum TakeoverReason {
        OWNER_RESTARTED(0),
        RELEASED(0),
        NEVER_STARTED(PLACEMENT_TIMEOUT_NANOS),
        OWNER_DEAD(DEAD_OWNER_TIMEOUT_NANOS),
        OWNER_SILENT(OWNER_TIMEOUT_NANOS);

        private final long mTimeoutNanos;

        TakeoverReason(long timeoutNanos) {
            mTimeoutNanos = timeoutNanos;
        }
    }
}
