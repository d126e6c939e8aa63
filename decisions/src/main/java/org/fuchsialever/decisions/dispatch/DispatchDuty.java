package org.fuchsialever.decisions.dispatch;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/** Queues requests, chooses an upstream for each and decides on retries and refusals. */
public final class DispatchDuty implements Duty<DispatchEvent, DispatchAction> {
    private static final long SWEEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Map<RequestId, QueuedRequest> mRequests = new LinkedHashMap<>();
    private final Map<PoolName, PoolDispatcher> mPools = new HashMap<>();
    private final Map<RouteName, RetryBudget> mRetryBudgets = new HashMap<>();
    private final DispatchSettings mSettings;
    private final RandomGenerator mRandom;
    private final InvariantMonitor mInvariants;
    private final RetryPolicy mRetryPolicy;
    private long mNextArrival;
    private long mNextSweep = NO_TIMER;
    private long mNextRetry = NO_TIMER;
    private long mNextSharePublication = NO_TIMER;
    private boolean mDraining;
    private boolean mDrainReported;

    /**
     * Creates the duty.
     *
     * @param settings limits and intervals
     * @param random source of randomness for choices and delays
     * @param invariants receives the results of checks
     */
    public DispatchDuty(
            DispatchSettings settings, RandomGenerator random, InvariantMonitor invariants) {
        mSettings = settings;
        mRandom = random;
        mInvariants = invariants;
        mRetryPolicy = new RetryPolicy(settings.maxAttempts(), random);
    }

    @Override
    public String dutyName() {
        return "dispatch";
    }

    @Override
    public void onEvent(DispatchEvent event, long nowNanos, ActionSink<DispatchAction> actions) {
        if (event instanceof DispatchEvent.RequestArrived arrived) {
            onRequestArrived(arrived.request(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.AttemptProgressed progressed) {
            onAttemptProgressed(progressed);
        } else if (event instanceof DispatchEvent.AttemptEnded ended) {
            onAttemptEnded(ended, nowNanos, actions);
        } else if (event instanceof DispatchEvent.RequestCancelled left) {
            cancelRequest(left.request(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.LoadReported reported) {
            onLoadReported(reported, nowNanos, actions);
        } else if (event instanceof DispatchEvent.CacheReported reported) {
            onCacheReported(reported);
        } else if (event instanceof DispatchEvent.UpstreamLeaving left) {
            onUpstreamLeaving(left.upstream(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.UpstreamProbed probed) {
            onUpstreamProbed(probed, nowNanos);
        } else if (event instanceof DispatchEvent.ConfigChanged changed) {
            onConfigChanged(changed.snapshot(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.SharesReceived received) {
            onSharesReceived(received, nowNanos);
        } else if (event instanceof DispatchEvent.DrainStarted) {
            onDrainStarted(actions);
        }
        reportDrained(actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<DispatchAction> actions) {
        if (mNextSharePublication <= nowNanos) {
            mNextSharePublication = nowNanos + mSettings.shareInterval().toNanos();
            publishShares(nowNanos, actions);
            startWaitingInAllPools(nowNanos, actions);
        }
        if (mNextRetry <= nowNanos) {
            requeueRetries(nowNanos, actions);
        }
        if (mNextSweep <= nowNanos) {
            sweepDeadlines(nowNanos, actions);
            mNextSweep = mRequests.isEmpty() ? NO_TIMER : nowNanos + SWEEP_INTERVAL_NANOS;
        }
        reportDrained(actions);
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(mNextSweep, Math.min(mNextRetry, mNextSharePublication));
    }

    private void onRequestArrived(
            DispatchRequest request, long nowNanos, ActionSink<DispatchAction> actions) {
        PoolDispatcher pool = mPools.get(request.route().pool());
        if (mDraining) {
            refuse(request.id(), RefusalReason.DRAINING, actions);
        } else if (pool == null || pool.hasNoServingUpstream()) {
            refuse(request.id(), RefusalReason.NO_UPSTREAM, actions);
        } else if (pool.queue().isFull()) {
            refuse(request.id(), RefusalReason.QUEUE_FULL, actions);
        } else if (pool.wouldMissDeadline(request, nowNanos)) {
            refuse(request.id(), RefusalReason.WOULD_MISS_DEADLINE, actions);
        } else {
            QueuedRequest queued = new QueuedRequest(request, mNextArrival++, nowNanos);
            mRequests.put(request.id(), queued);
            retryBudget(request.route().name()).onRequest();
            pool.queue().add(queued, nowNanos);
            mNextSweep = Math.min(mNextSweep, nowNanos + SWEEP_INTERVAL_NANOS);
            startWaiting(pool, nowNanos, actions);
        }
    }

    private void startWaiting(
            PoolDispatcher pool, long nowNanos, ActionSink<DispatchAction> actions) {
        QueuedRequest queued = pool.next(nowNanos);
        while (queued != null) {
            if (pool.isTooLate(queued, nowNanos)) {
                pool.queue().remove(queued);
                refuseQueued(queued, RefusalReason.DEADLINE_IN_QUEUE, actions);
            } else {
                UpstreamLoad load = pool.assign(queued, nowNanos);
                if (load == null) {
                    return;
                }
                pool.queue().remove(queued);
                checkAtMostOnce(queued);
                actions.emit(
                        new DispatchAction.StartAttempt(
                                queued.request().id(),
                                queued.attempt(),
                                load.spec(),
                                queued.tokens()));
            }
            queued = pool.next(nowNanos);
        }
    }

    private void checkAtMostOnce(QueuedRequest queued) {
        mInvariants.check(
                Invariant.AT_MOST_ONCE,
                queued.request().route().repeatable() || !queued.mayHaveRun(),
                () -> queued.request().id() + " is sent again although it may have run");
    }

    private void onAttemptProgressed(DispatchEvent.AttemptProgressed progressed) {
        QueuedRequest queued = mRequests.get(progressed.request());
        if (queued != null && queued.attempt() == progressed.attempt()) {
            queued.updateTokens(progressed.tokens());
        }
    }

    private void onAttemptEnded(
            DispatchEvent.AttemptEnded ended, long nowNanos, ActionSink<DispatchAction> actions) {
        QueuedRequest queued = mRequests.get(ended.request());
        if (queued == null || queued.attempt() != ended.attempt() || queued.upstream() == null) {
            return;
        }
        PoolDispatcher pool = poolOf(queued);
        AttemptResult result = ended.report().result();
        queued.updateAttemptTokens(ended.report().generatedTokens());
        pool.release(queued, ended.report(), nowNanos);
        if (result == AttemptResult.COMPLETED) {
            mRequests.remove(ended.request());
            actions.emit(new DispatchAction.Finish(ended.request(), Outcome.COMPLETED));
        } else {
            if (result.outcome() != Outcome.NOT_RUN) {
                queued.recordMayHaveRun();
            } else {
                queued.recordNotRun();
            }
            Either<RefusalReason, RetryReason> decision =
                    mRetryPolicy.decide(
                            queued, result, retryBudget(queued.request().route().name()));
            if (decision.isRight()) {
                scheduleRetry(queued, decision.get(), nowNanos, actions);
            } else {
                refuseQueued(queued, decision.getLeft(), actions);
            }
        }
        startWaiting(pool, nowNanos, actions);
    }

    private void scheduleRetry(
            QueuedRequest queued,
            RetryReason reason,
            long nowNanos,
            ActionSink<DispatchAction> actions) {
        long delay = mRetryPolicy.delayNanos(queued);
        queued.scheduleRetryAt(nowNanos + delay);
        mNextRetry = Math.min(mNextRetry, nowNanos + delay);
        actions.emit(
                new DispatchAction.Retry(queued.request().id(), reason, Duration.ofNanos(delay)));
    }

    private void requeueRetries(long nowNanos, ActionSink<DispatchAction> actions) {
        mNextRetry = NO_TIMER;
        for (QueuedRequest queued : List.copyOf(mRequests.values())) {
            if (queued.retryAt() <= nowNanos) {
                queued.retryStarted();
                PoolDispatcher pool = poolOf(queued);
                pool.queue().add(queued, nowNanos);
                startWaiting(pool, nowNanos, actions);
            } else {
                mNextRetry = Math.min(mNextRetry, queued.retryAt());
            }
        }
    }

    private void cancelRequest(
            RequestId request, long nowNanos, ActionSink<DispatchAction> actions) {
        QueuedRequest queued = mRequests.remove(request);
        if (queued == null) {
            return;
        }
        boolean ran = queued.mayHaveRun() || queued.upstream() != null;
        mInvariants.check(
                Invariant.NOT_RUN_IS_TRUE,
                ran || queued.isProvenNotRun(),
                () -> request + " ends as not run but may have run");
        cancelOrDequeue(queued, nowNanos, actions);
        actions.emit(new DispatchAction.Finish(request, ran ? Outcome.UNKNOWN : Outcome.NOT_RUN));
        startWaiting(poolOf(queued), nowNanos, actions);
    }

    private void cancelOrDequeue(
            QueuedRequest queued, long nowNanos, ActionSink<DispatchAction> actions) {
        PoolDispatcher pool = poolOf(queued);
        if (queued.upstream() == null) {
            pool.queue().remove(queued);
            return;
        }
        actions.emit(new DispatchAction.CancelAttempt(queued.request().id(), queued.attempt()));
        AttemptReport report =
                new AttemptReport(
                        AttemptResult.CANCELLED,
                        queued.request().promptTokens(),
                        queued.tokens(),
                        -1,
                        0);
        pool.release(queued, report, nowNanos);
    }

    private void onLoadReported(
            DispatchEvent.LoadReported reported,
            long nowNanos,
            ActionSink<DispatchAction> actions) {
        for (PoolDispatcher pool : mPools.values()) {
            UpstreamLoad load = pool.candidates().find(reported.upstream());
            if (load != null) {
                boolean wasLeaving = load.isLeaving();
                load.onReport(reported.report(), nowNanos);
                if (load.isLeaving() && !wasLeaving) {
                    moveResumableRequests(reported.upstream(), nowNanos, actions);
                }
                startWaiting(pool, nowNanos, actions);
            }
        }
    }

    private void onCacheReported(DispatchEvent.CacheReported reported) {
        for (PoolDispatcher pool : mPools.values()) {
            int index = pool.candidates().indexOf(reported.upstream());
            if (index >= 0 && reported.stored()) {
                pool.candidates().cache().onStored(reported.prefixHash(), index);
            } else if (index >= 0) {
                pool.candidates().cache().onEvicted(reported.prefixHash(), index);
            }
        }
    }

    private void onUpstreamProbed(DispatchEvent.UpstreamProbed probed, long nowNanos) {
        for (PoolDispatcher pool : mPools.values()) {
            UpstreamLoad load = pool.candidates().find(probed.upstream());
            if (load != null && !probed.alive()) {
                pool.candidates().onUnreachable(load, nowNanos);
            }
        }
    }

    private void onUpstreamLeaving(
            UpstreamId upstream, long nowNanos, ActionSink<DispatchAction> actions) {
        for (PoolDispatcher pool : mPools.values()) {
            UpstreamLoad load = pool.candidates().find(upstream);
            if (load != null && !load.isLeaving()) {
                load.markLeaving();
                moveResumableRequests(upstream, nowNanos, actions);
            }
        }
    }

    /** Moves resumable requests away from a leaving upstream; the others may finish there. */
    private void moveResumableRequests(
            UpstreamId upstream, long nowNanos, ActionSink<DispatchAction> actions) {
        for (QueuedRequest queued : List.copyOf(mRequests.values())) {
            boolean movable = queued.request().resumable() && queued.request().route().repeatable();
            if (movable && queued.runsAt(upstream)) {
                cancelOrDequeue(queued, nowNanos, actions);
                queued.recordMayHaveRun();
                scheduleRetry(queued, RetryReason.UPSTREAM_LEAVING, nowNanos, actions);
            }
        }
    }

    private void onConfigChanged(
            ConfigSnapshot snapshot, long nowNanos, ActionSink<DispatchAction> actions) {
        mPools.forEach(
                (name, pool) -> {
                    if (!snapshot.pools().containsKey(name)) {
                        pool.markRemoved();
                    }
                });
        snapshot.pools()
                .forEach(
                        (name, pool) ->
                                mPools.computeIfAbsent(
                                                name,
                                                n ->
                                                        new PoolDispatcher(
                                                                mSettings, mRandom, mInvariants))
                                        .update(pool, snapshot.teamWeights()));
        for (QueuedRequest queued : List.copyOf(mRequests.values())) {
            UpstreamLoad load = queued.upstream();
            if (load != null && load.isLeaving()) {
                moveResumableRequests(load.spec().id(), nowNanos, actions);
            }
        }
        refuseUnservable(actions);
        mNextSharePublication =
                Math.min(mNextSharePublication, nowNanos + mSettings.shareInterval().toNanos());
        startWaitingInAllPools(nowNanos, actions);
    }

    private void refuseUnservable(ActionSink<DispatchAction> actions) {
        for (QueuedRequest queued : List.copyOf(mRequests.values())) {
            PoolDispatcher pool = poolOf(queued);
            boolean live = queued.request().route().priority() == Priority.LIVE;
            if (live && queued.upstream() == null && pool.hasNoServingUpstream()) {
                pool.queue().remove(queued);
                refuseQueued(queued, RefusalReason.NO_UPSTREAM, actions);
            }
        }
    }

    private void onSharesReceived(DispatchEvent.SharesReceived received, long nowNanos) {
        PoolDispatcher pool = mPools.get(received.pool());
        if (pool == null) {
            return;
        }
        for (DispatchEvent.TeamCost cost : received.costs()) {
            pool.queue()
                    .team(cost.team())
                    .onRemote(received.instance(), cost.cost(), cost.demand(), nowNanos);
        }
    }

    private void publishShares(long nowNanos, ActionSink<DispatchAction> actions) {
        mPools.forEach(
                (name, pool) -> {
                    pool.queue().updateQuotas(pool.candidates().countSlots(nowNanos), nowNanos);
                    List<DispatchEvent.TeamCost> costs = pool.queue().teamCosts(nowNanos);
                    if (!costs.isEmpty()) {
                        actions.emit(new DispatchAction.PublishShares(name, costs));
                    }
                });
    }

    private void sweepDeadlines(long nowNanos, ActionSink<DispatchAction> actions) {
        for (QueuedRequest queued : List.copyOf(mRequests.values())) {
            if (queued.request().deadlineNanos() > nowNanos) {
                continue;
            }
            boolean running = queued.upstream() != null;
            cancelOrDequeue(queued, nowNanos, actions);
            boolean mayHaveRun = running || queued.mayHaveRun();
            refuseQueued(
                    queued,
                    mayHaveRun
                            ? RefusalReason.DEADLINE_WHILE_RUNNING
                            : RefusalReason.DEADLINE_IN_QUEUE,
                    actions);
        }
        startWaitingInAllPools(nowNanos, actions);
    }

    private void onDrainStarted(ActionSink<DispatchAction> actions) {
        mDraining = true;
        for (QueuedRequest queued : new ArrayList<>(mRequests.values())) {
            if (queued.upstream() == null && !queued.mayHaveRun()) {
                poolOf(queued).queue().remove(queued);
                refuseQueued(queued, RefusalReason.DRAINING, actions);
            }
        }
    }

    private void reportDrained(ActionSink<DispatchAction> actions) {
        if (mDraining && !mDrainReported && mRequests.isEmpty()) {
            mDrainReported = true;
            actions.emit(new DispatchAction.Drained());
        }
    }

    private void startWaitingInAllPools(long nowNanos, ActionSink<DispatchAction> actions) {
        for (PoolDispatcher pool : mPools.values()) {
            startWaiting(pool, nowNanos, actions);
        }
    }

    private void refuseQueued(
            QueuedRequest queued, RefusalReason reason, ActionSink<DispatchAction> actions) {
        mRequests.remove(queued.request().id());
        RefusalReason actualReason =
                reason.outcome() == Outcome.NOT_RUN && queued.mayHaveRun()
                        ? RefusalReason.ANSWER_LOST
                        : reason;
        mInvariants.check(
                Invariant.NOT_RUN_IS_TRUE,
                actualReason.outcome() != Outcome.NOT_RUN || queued.isProvenNotRun(),
                () -> queued.request().id() + " is refused as not run but may have run");
        refuse(queued.request().id(), actualReason, actions);
    }

    private RetryBudget retryBudget(RouteName route) {
        return mRetryBudgets.computeIfAbsent(route, r -> new RetryBudget(mSettings.retryRatio()));
    }

    private PoolDispatcher poolOf(QueuedRequest queued) {
        PoolDispatcher pool = mPools.get(queued.request().route().pool());
        if (pool == null) {
            throw new IllegalStateException("no pool for " + queued.request().id());
        }
        return pool;
    }

    private static void refuse(
            RequestId request, RefusalReason reason, ActionSink<DispatchAction> actions) {
        actions.emit(new DispatchAction.Refuse(request, reason, reason.retryAfter()));
    }
}
