package org.fuchsialever.decisions.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.Pool;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.jspecify.annotations.Nullable;

/** Queues requests, chooses an upstream for each and decides on retries and refusals. */
public final class DispatchDuty implements Duty<DispatchEvent, DispatchAction> {
    private static final int MAX_ATTEMPTS = 4;

    private final int queueCapacity;
    private final Map<RequestId, Entry> entries = new LinkedHashMap<>();
    private final Map<PoolName, Deque<Entry>> queues = new HashMap<>();
    private final Map<UpstreamId, Integer> inFlight = new HashMap<>();
    private @Nullable ConfigSnapshot snapshot;
    private boolean draining;

    /**
     * Creates the duty.
     *
     * @param queueCapacity the most requests that wait for an upstream in each pool
     */
    public DispatchDuty(int queueCapacity) {
        this.queueCapacity = queueCapacity;
    }

    @Override
    public String dutyName() {
        return "dispatch";
    }

    @Override
    public void onEvent(DispatchEvent event, long nowNanos, ActionSink<DispatchAction> actions) {
        if (event instanceof DispatchEvent.RequestArrived arrived) {
            arrive(arrived.request(), actions);
        } else if (event instanceof DispatchEvent.AttemptEnded ended) {
            end(ended, actions);
        } else if (event instanceof DispatchEvent.AttemptProgressed progressed) {
            Entry entry = entries.get(progressed.request());
            if (entry != null) {
                entry.tokens = Math.max(entry.tokens, progressed.tokens());
            }
        } else if (event instanceof DispatchEvent.CallerLeft left) {
            cancel(left.request(), actions);
        } else if (event instanceof DispatchEvent.ConfigChanged changed) {
            snapshot = changed.snapshot();
            startWaiting(actions);
        } else if (event instanceof DispatchEvent.DrainStarted) {
            draining = true;
            refuseWaiting(actions);
            reportDrained(actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<DispatchAction> actions) {}

    @Override
    public long nextTimerNanos() {
        return NO_TIMER;
    }

    private void arrive(DispatchRequest request, ActionSink<DispatchAction> actions) {
        if (draining) {
            refuse(request.id(), RefusalReason.DRAINING, actions);
            return;
        }
        Deque<Entry> queue = queue(request.route().pool());
        if (queue.size() >= queueCapacity) {
            refuse(request.id(), RefusalReason.QUEUE_FULL, actions);
            return;
        }
        Entry entry = new Entry(request);
        entries.put(request.id(), entry);
        queue.add(entry);
        startWaiting(actions);
    }

    private void startWaiting(ActionSink<DispatchAction> actions) {
        for (Deque<Entry> queue : queues.values()) {
            Entry entry = queue.peek();
            while (entry != null && start(entry, actions)) {
                queue.poll();
                entry = queue.peek();
            }
        }
    }

    private boolean start(Entry entry, ActionSink<DispatchAction> actions) {
        UpstreamSpec best = null;
        int bestLoad = Integer.MAX_VALUE;
        Pool pool = snapshot == null ? null : snapshot.pools().get(entry.request.route().pool());
        if (pool == null) {
            return false;
        }
        for (UpstreamSpec candidate : pool.upstreams()) {
            if (candidate.id().equals(entry.failed) && pool.upstreams().size() > 1) {
                continue;
            }
            int load = inFlight.getOrDefault(candidate.id(), 0);
            boolean usable = candidate.state() == UpstreamState.SERVING && load < candidate.slots();
            if (usable && load < bestLoad) {
                best = candidate;
                bestLoad = load;
            }
        }
        if (best == null) {
            return false;
        }
        entry.upstream = best.id();
        entry.attempt++;
        inFlight.merge(best.id(), 1, Integer::sum);
        actions.emit(
                new DispatchAction.StartAttempt(
                        entry.request.id(), entry.attempt, best, entry.tokens));
        return true;
    }

    private void end(DispatchEvent.AttemptEnded ended, ActionSink<DispatchAction> actions) {
        Entry entry = entries.get(ended.request());
        if (entry == null || entry.attempt != ended.attempt()) {
            return;
        }
        AttemptResult result = ended.report().result();
        entry.failed = entry.upstream;
        entry.mayHaveRun |= result.outcome() != Outcome.NOT_RUN;
        release(entry);
        if (entry.request.resumable()
                && result.retryReason().isDefined()
                && entry.attempt < MAX_ATTEMPTS) {
            RetryReason reason = result.retryReason().get();
            actions.emit(new DispatchAction.Retry(ended.request(), reason, Duration.ZERO));
            queue(entry.request.route().pool()).addFirst(entry);
            startWaiting(actions);
            return;
        }
        entries.remove(ended.request());
        if (result == AttemptResult.COMPLETED) {
            actions.emit(new DispatchAction.Finish(ended.request(), Outcome.COMPLETED));
        } else {
            // An earlier attempt may have run even if the last one certainly did not.
            boolean notRun = result.outcome() == Outcome.NOT_RUN;
            Outcome outcome = notRun && entry.mayHaveRun ? Outcome.UNKNOWN : result.outcome();
            refuse(ended.request(), refusalFor(outcome), actions);
        }
        startWaiting(actions);
        reportDrained(actions);
    }

    private void cancel(RequestId request, ActionSink<DispatchAction> actions) {
        Entry entry = entries.remove(request);
        if (entry == null) {
            return;
        }
        queue(entry.request.route().pool()).remove(entry);
        if (entry.upstream != null) {
            actions.emit(new DispatchAction.CancelAttempt(request, entry.attempt));
            release(entry);
        }
        actions.emit(new DispatchAction.Finish(request, Outcome.UNKNOWN));
        startWaiting(actions);
        reportDrained(actions);
    }

    private void refuseWaiting(ActionSink<DispatchAction> actions) {
        for (Deque<Entry> queue : queues.values()) {
            // An entry that waits for a further attempt is a running call and finishes.
            for (Entry entry : queue) {
                if (entry.attempt == 0) {
                    entries.remove(entry.request.id());
                    refuse(entry.request.id(), RefusalReason.DRAINING, actions);
                }
            }
            queue.removeIf(entry -> entry.attempt == 0);
        }
    }

    private void reportDrained(ActionSink<DispatchAction> actions) {
        if (draining && entries.isEmpty()) {
            actions.emit(new DispatchAction.Drained());
        }
    }

    private void release(Entry entry) {
        if (entry.upstream != null) {
            inFlight.merge(entry.upstream, -1, Integer::sum);
            entry.upstream = null;
        }
    }

    private Deque<Entry> queue(PoolName pool) {
        return queues.computeIfAbsent(pool, p -> new ArrayDeque<>());
    }

    private static RefusalReason refusalFor(Outcome outcome) {
        return switch (outcome) {
            case NOT_RUN -> RefusalReason.UPSTREAMS_NOT_REACHED;
            case FAILED_AFTER_RUNNING -> RefusalReason.UPSTREAM_FAILED;
            case COMPLETED, UNKNOWN -> RefusalReason.ANSWER_LOST;
        };
    }

    private static void refuse(
            RequestId request, RefusalReason reason, ActionSink<DispatchAction> actions) {
        Duration retryAfter = reason.retryAfter();
        actions.emit(new DispatchAction.Refuse(request, reason, retryAfter));
    }

    private static final class Entry {
        private final DispatchRequest request;
        private int attempt;
        private int tokens;
        private boolean mayHaveRun;
        private @Nullable UpstreamId upstream;
        private @Nullable UpstreamId failed;

        private Entry(DispatchRequest request) {
            this.request = request;
        }
    }
}
