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
    private static final long SWEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Map<RequestId, QueuedRequest> requests = new LinkedHashMap<>();
    private final Map<PoolName, PoolDispatcher> pools = new HashMap<>();
    private final Map<RouteName, RetryBudget> budgets = new HashMap<>();
    private final DispatchSettings settings;
    private final RandomGenerator random;
    private final InvariantMonitor invariants;
    private final RetryPolicy retries;
    private long arrivals;
    private long nextSweep = NO_TIMER;
    private long nextRetry = NO_TIMER;
    private long nextShares = NO_TIMER;
    private boolean draining;
    private boolean drainReported;

    /**
     * Creates the duty.
     *
     * @param settings limits and intervals
     * @param random source of randomness for choices and delays
     * @param invariants receives the results of checks
     */
    public DispatchDuty(
            DispatchSettings settings, RandomGenerator random, InvariantMonitor invariants) {
        this.settings = settings;
        this.random = random;
        this.invariants = invariants;
        this.retries = new RetryPolicy(settings.maxAttempts(), random);
    }

    @Override
    public String dutyName() {
        return "dispatch";
    }

    @Override
    public void onEvent(DispatchEvent event, long nowNanos, ActionSink<DispatchAction> actions) {
        if (event instanceof DispatchEvent.RequestArrived arrived) {
            arrive(arrived.request(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.AttemptProgressed progressed) {
            progress(progressed);
        } else if (event instanceof DispatchEvent.AttemptEnded ended) {
            end(ended, nowNanos, actions);
        } else if (event instanceof DispatchEvent.RequestCancelled left) {
            forget(left.request(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.LoadReported reported) {
            takeLoad(reported, nowNanos, actions);
        } else if (event instanceof DispatchEvent.CacheReported reported) {
            takeCache(reported);
        } else if (event instanceof DispatchEvent.UpstreamLeaving left) {
            leave(left.upstream(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.UpstreamProbed probed) {
            takeProbe(probed, nowNanos);
        } else if (event instanceof DispatchEvent.ConfigChanged changed) {
            configure(changed.snapshot(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.SharesReceived received) {
            takeShares(received, nowNanos);
        } else if (event instanceof DispatchEvent.DrainStarted) {
            drain(actions);
        }
        reportDrained(actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<DispatchAction> actions) {
        if (nextShares <= nowNanos) {
            nextShares = nowNanos + settings.shareInterval().toNanos();
            exchangeShares(nowNanos, actions);
            startAll(nowNanos, actions);
        }
        if (nextRetry <= nowNanos) {
            requeueRetries(nowNanos, actions);
        }
        if (nextSweep <= nowNanos) {
            sweepDeadlines(nowNanos, actions);
            nextSweep = requests.isEmpty() ? NO_TIMER : nowNanos + SWEEP_NANOS;
        }
        reportDrained(actions);
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(nextSweep, Math.min(nextRetry, nextShares));
    }

    private void arrive(
            DispatchRequest request, long nowNanos, ActionSink<DispatchAction> actions) {
        PoolDispatcher pool = pools.get(request.route().pool());
        if (draining) {
            refuse(request.id(), RefusalReason.DRAINING, actions);
        } else if (pool == null || pool.servesNobody()) {
            refuse(request.id(), RefusalReason.NO_UPSTREAM, actions);
        } else if (pool.queue().isFull()) {
            refuse(request.id(), RefusalReason.QUEUE_FULL, actions);
        } else if (pool.wouldMissDeadline(request, nowNanos)) {
            refuse(request.id(), RefusalReason.WOULD_MISS_DEADLINE, actions);
        } else {
            QueuedRequest queued = new QueuedRequest(request, arrivals++, nowNanos);
            requests.put(request.id(), queued);
            budget(request.route().name()).onRequest();
            pool.queue().add(queued, nowNanos);
            nextSweep = Math.min(nextSweep, nowNanos + SWEEP_NANOS);
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
                UpstreamLoad load = pool.book(queued, nowNanos);
                if (load == null) {
                    return;
                }
                pool.queue().remove(queued);
                checkAttempt(queued);
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

    private void checkAttempt(QueuedRequest queued) {
        invariants.check(
                Invariant.AT_MOST_ONCE,
                queued.request().route().repeatable() || !queued.mayHaveRun(),
                () -> queued.request().id() + " is sent again although it may have run");
    }

    private void progress(DispatchEvent.AttemptProgressed progressed) {
        QueuedRequest queued = requests.get(progressed.request());
        if (queued != null && queued.attempt() == progressed.attempt()) {
            queued.tokens(progressed.tokens());
        }
    }

    private void end(
            DispatchEvent.AttemptEnded ended, long nowNanos, ActionSink<DispatchAction> actions) {
        QueuedRequest queued = requests.get(ended.request());
        if (queued == null || queued.attempt() != ended.attempt() || queued.upstream() == null) {
            return;
        }
        PoolDispatcher pool = poolOf(queued);
        AttemptResult result = ended.report().result();
        queued.tokensOfAttempt(ended.report().generatedTokens());
        pool.release(queued, ended.report(), nowNanos);
        if (result == AttemptResult.COMPLETED) {
            requests.remove(ended.request());
            actions.emit(new DispatchAction.Finish(ended.request(), Outcome.COMPLETED));
        } else {
            if (result.outcome() != Outcome.NOT_RUN) {
                queued.noteMayHaveRun();
            } else {
                queued.noteNotRun();
            }
            Either<RefusalReason, RetryReason> decision =
                    retries.decide(queued, result, budget(queued.request().route().name()));
            if (decision.isRight()) {
                retryLater(queued, decision.get(), nowNanos, actions);
            } else {
                refuseQueued(queued, decision.getLeft(), actions);
            }
        }
        startWaiting(pool, nowNanos, actions);
    }

    private void retryLater(
            QueuedRequest queued,
            RetryReason reason,
            long nowNanos,
            ActionSink<DispatchAction> actions) {
        long delay = retries.delayNanos(queued);
        queued.retryAt(nowNanos + delay);
        nextRetry = Math.min(nextRetry, nowNanos + delay);
        actions.emit(
                new DispatchAction.Retry(queued.request().id(), reason, Duration.ofNanos(delay)));
    }

    private void requeueRetries(long nowNanos, ActionSink<DispatchAction> actions) {
        nextRetry = NO_TIMER;
        for (QueuedRequest queued : List.copyOf(requests.values())) {
            if (queued.retryAt() <= nowNanos) {
                queued.retryStarted();
                PoolDispatcher pool = poolOf(queued);
                pool.queue().add(queued, nowNanos);
                startWaiting(pool, nowNanos, actions);
            } else {
                nextRetry = Math.min(nextRetry, queued.retryAt());
            }
        }
    }

    private void forget(RequestId request, long nowNanos, ActionSink<DispatchAction> actions) {
        QueuedRequest queued = requests.remove(request);
        if (queued == null) {
            return;
        }
        boolean ran = queued.mayHaveRun() || queued.upstream() != null;
        invariants.check(
                Invariant.NOT_RUN_IS_TRUE,
                ran || queued.certainlyNotRun(),
                () -> request + " ends as not run but may have run");
        stopWork(queued, nowNanos, actions);
        actions.emit(new DispatchAction.Finish(request, ran ? Outcome.UNKNOWN : Outcome.NOT_RUN));
        startWaiting(poolOf(queued), nowNanos, actions);
    }

    private void stopWork(QueuedRequest queued, long nowNanos, ActionSink<DispatchAction> actions) {
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

    private void takeLoad(
            DispatchEvent.LoadReported reported,
            long nowNanos,
            ActionSink<DispatchAction> actions) {
        for (PoolDispatcher pool : pools.values()) {
            UpstreamLoad load = pool.candidates().find(reported.upstream());
            if (load != null) {
                boolean wasLeaving = load.isLeaving();
                load.onReport(reported.report(), nowNanos);
                if (load.isLeaving() && !wasLeaving) {
                    moveWork(reported.upstream(), nowNanos, actions);
                }
                startWaiting(pool, nowNanos, actions);
            }
        }
    }

    private void takeCache(DispatchEvent.CacheReported reported) {
        for (PoolDispatcher pool : pools.values()) {
            int index = pool.candidates().indexOf(reported.upstream());
            if (index >= 0 && reported.stored()) {
                pool.candidates().cache().stored(reported.prefixHash(), index);
            } else if (index >= 0) {
                pool.candidates().cache().evicted(reported.prefixHash(), index);
            }
        }
    }

    private void takeProbe(DispatchEvent.UpstreamProbed probed, long nowNanos) {
        for (PoolDispatcher pool : pools.values()) {
            UpstreamLoad load = pool.candidates().find(probed.upstream());
            if (load != null && !probed.alive()) {
                pool.candidates().onUnreachable(load, nowNanos);
            }
        }
    }

    private void leave(UpstreamId upstream, long nowNanos, ActionSink<DispatchAction> actions) {
        for (PoolDispatcher pool : pools.values()) {
            UpstreamLoad load = pool.candidates().find(upstream);
            if (load != null && !load.isLeaving()) {
                load.leave();
                moveWork(upstream, nowNanos, actions);
            }
        }
    }

    /** Moves what can be resumed away from a leaving upstream; the rest may finish there. */
    private void moveWork(UpstreamId upstream, long nowNanos, ActionSink<DispatchAction> actions) {
        for (QueuedRequest queued : List.copyOf(requests.values())) {
            boolean movable = queued.request().resumable() && queued.request().route().repeatable();
            if (movable && queued.runsAt(upstream)) {
                stopWork(queued, nowNanos, actions);
                queued.noteMayHaveRun();
                retryLater(queued, RetryReason.UPSTREAM_LEAVING, nowNanos, actions);
            }
        }
    }

    private void configure(
            ConfigSnapshot snapshot, long nowNanos, ActionSink<DispatchAction> actions) {
        pools.forEach(
                (name, pool) -> {
                    if (!snapshot.pools().containsKey(name)) {
                        pool.remove();
                    }
                });
        snapshot.pools()
                .forEach(
                        (name, pool) ->
                                pools.computeIfAbsent(
                                                name,
                                                n ->
                                                        new PoolDispatcher(
                                                                settings, random, invariants))
                                        .update(pool, snapshot.teamWeights()));
        for (QueuedRequest queued : List.copyOf(requests.values())) {
            UpstreamLoad load = queued.upstream();
            if (load != null && load.isLeaving()) {
                moveWork(load.spec().id(), nowNanos, actions);
            }
        }
        refuseUnservable(actions);
        nextShares = Math.min(nextShares, nowNanos + settings.shareInterval().toNanos());
        startAll(nowNanos, actions);
    }

    private void refuseUnservable(ActionSink<DispatchAction> actions) {
        for (QueuedRequest queued : List.copyOf(requests.values())) {
            PoolDispatcher pool = poolOf(queued);
            boolean live = queued.request().route().priority() == Priority.LIVE;
            if (live && queued.upstream() == null && pool.servesNobody()) {
                pool.queue().remove(queued);
                refuseQueued(queued, RefusalReason.NO_UPSTREAM, actions);
            }
        }
    }

    private void takeShares(DispatchEvent.SharesReceived received, long nowNanos) {
        PoolDispatcher pool = pools.get(received.pool());
        if (pool == null) {
            return;
        }
        for (DispatchEvent.TeamCost cost : received.costs()) {
            pool.queue()
                    .team(cost.team())
                    .onRemote(received.instance(), cost.cost(), cost.demand(), nowNanos);
        }
    }

    private void exchangeShares(long nowNanos, ActionSink<DispatchAction> actions) {
        pools.forEach(
                (name, pool) -> {
                    pool.queue().updateQuotas(pool.candidates().countSlots(nowNanos), nowNanos);
                    List<DispatchEvent.TeamCost> costs = pool.queue().costs(nowNanos);
                    if (!costs.isEmpty()) {
                        actions.emit(new DispatchAction.PublishShares(name, costs));
                    }
                });
    }

    private void sweepDeadlines(long nowNanos, ActionSink<DispatchAction> actions) {
        for (QueuedRequest queued : List.copyOf(requests.values())) {
            if (queued.request().deadlineNanos() > nowNanos) {
                continue;
            }
            boolean running = queued.upstream() != null;
            stopWork(queued, nowNanos, actions);
            boolean mayHaveRun = running || queued.mayHaveRun();
            refuseQueued(
                    queued,
                    mayHaveRun
                            ? RefusalReason.DEADLINE_WHILE_RUNNING
                            : RefusalReason.DEADLINE_IN_QUEUE,
                    actions);
        }
        startAll(nowNanos, actions);
    }

    private void drain(ActionSink<DispatchAction> actions) {
        draining = true;
        for (QueuedRequest queued : new ArrayList<>(requests.values())) {
            if (queued.upstream() == null && !queued.mayHaveRun()) {
                poolOf(queued).queue().remove(queued);
                refuseQueued(queued, RefusalReason.DRAINING, actions);
            }
        }
    }

    private void reportDrained(ActionSink<DispatchAction> actions) {
        if (draining && !drainReported && requests.isEmpty()) {
            drainReported = true;
            actions.emit(new DispatchAction.Drained());
        }
    }

    private void startAll(long nowNanos, ActionSink<DispatchAction> actions) {
        for (PoolDispatcher pool : pools.values()) {
            startWaiting(pool, nowNanos, actions);
        }
    }

    private void refuseQueued(
            QueuedRequest queued, RefusalReason reason, ActionSink<DispatchAction> actions) {
        requests.remove(queued.request().id());
        RefusalReason truthful =
                reason.outcome() == Outcome.NOT_RUN && queued.mayHaveRun()
                        ? RefusalReason.ANSWER_LOST
                        : reason;
        invariants.check(
                Invariant.NOT_RUN_IS_TRUE,
                truthful.outcome() != Outcome.NOT_RUN || queued.certainlyNotRun(),
                () -> queued.request().id() + " is refused as not run but may have run");
        refuse(queued.request().id(), truthful, actions);
    }

    private RetryBudget budget(RouteName route) {
        return budgets.computeIfAbsent(route, r -> new RetryBudget(settings.retryRatio()));
    }

    private PoolDispatcher poolOf(QueuedRequest queued) {
        PoolDispatcher pool = pools.get(queued.request().route().pool());
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
