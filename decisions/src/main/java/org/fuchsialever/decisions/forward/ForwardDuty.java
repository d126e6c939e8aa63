package org.fuchsialever.decisions.forward;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.fleet.Fleet;
import org.fuchsialever.decisions.fleet.UpstreamState;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Sends calls to upstreams, tries them again where that is allowed, queues items until an upstream
 * has room and refuses what cannot run.
 */
public final class ForwardDuty implements Duty<ForwardEvent, ForwardAction> {
    /** Callers are told to come back after the time in which most live calls end. */
    private static final long RETRY_AFTER_MILLIS = 100;

    /** Queued calls are looked at again this often while upstreams are in a pause. */
    private static final long QUEUE_INTERVAL = TimeUnit.MILLISECONDS.toNanos(50);

    /** Pause before an item runs again that an upstream failed. */
    private static final long FAILURE_PAUSE = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int MOST_AFFINITIES = 4_096;

    private final Fleet fleet;
    private final RandomGenerator random;
    private final Map<Long, ForwardCallState> works = new HashMap<>();
    private final Map<AttemptKey, UpstreamState> attempts = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::at));
    private final TreeSet<ForwardCall> queue =
            new TreeSet<>(
                    Comparator.comparingLong(ForwardCall::queueRank)
                            .thenComparingLong(ForwardCall::number));
    private final Map<String, String> affinities =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > MOST_AFFINITIES;
                }
            };
    private long queueTimer = NO_TIMER;

    /** Creates a duty that knows no upstream yet. */
    public ForwardDuty(RandomGenerator random) {
        this.random = random;
        this.fleet = new Fleet(random);
    }

    @Override
    public String dutyName() {
        return "forward";
    }

    @Override
    public void onEvent(ForwardEvent event, long nowNanos, ActionSink<ForwardAction> actions) {
        if (event instanceof ForwardEvent.Arrived arrived) {
            arrived(arrived.call(), nowNanos, actions);
        } else if (event instanceof ForwardEvent.AttemptEnded ended) {
            ended(ended, nowNanos, actions);
        } else if (event instanceof ForwardEvent.Cancelled withdrawn) {
            withdrawn(withdrawn.number(), actions);
            drainQueue(nowNanos, actions);
        } else if (event instanceof ForwardEvent.FleetChanged changed) {
            fleet.update(changed.upstreams());
            drainQueue(nowNanos, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<ForwardAction> actions) {
        Timer timer = timers.peek();
        while (timer != null && timer.at <= nowNanos) {
            timers.poll();
            fire(timer, nowNanos, actions);
            timer = timers.peek();
        }
        if (queueTimer <= nowNanos) {
            queueTimer = NO_TIMER;
            drainQueue(nowNanos, actions);
        }
    }

    @Override
    public long nextTimerNanos() {
        Timer timer = timers.peek();
        return Math.min(queueTimer, timer == null ? NO_TIMER : timer.at);
    }

    private void arrived(ForwardCall work, long now, ActionSink<ForwardAction> actions) {
        ForwardCallState state = new ForwardCallState(work, pickService(work.shares()));
        works.put(work.number(), state);
        if (work.deadlineNanos() != NO_TIMER) {
            timers.add(new Timer(work.deadlineNanos(), work.number(), TimerKind.DEADLINE));
        }
        startOrWait(state, ForwardAction.StartReason.FIRST, now, actions);
    }

    private String pickService(List<ServiceShare> shares) {
        int total = shares.stream().mapToInt(ServiceShare::weight).sum();
        int point = total <= 1 ? 0 : random.nextInt(total);
        for (ServiceShare share : shares) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }

    private void startOrWait(
            ForwardCallState state,
            ForwardAction.StartReason reason,
            long now,
            ActionSink<ForwardAction> actions) {
        Option<UpstreamState> upstream = choose(state, now);
        if (upstream.isDefined()) {
            start(state, upstream.get(), reason, now, actions);
        } else if (state.work().kind().waitsForSlot()) {
            enqueue(state, now);
        } else if (!state.isRunning() && reason != ForwardAction.StartReason.HEDGE) {
            refuseUnsent(state, actions);
        }
    }

    private Option<UpstreamState> choose(ForwardCallState state, long now) {
        ForwardCall work = state.work();
        Predicate<UpstreamState> suitable =
                upstream ->
                        work.model().isEmpty()
                                || upstream.versionOf(work.model()) >= work.minVersion();
        Predicate<UpstreamState> untried =
                upstream -> suitable.test(upstream) && !state.wasTried(upstream);
        String preferred =
                work.affinity().isEmpty() ? "" : affinities.getOrDefault(work.affinity(), "");
        double most = work.kind().maxUtilization();
        double step = work.kind().loadStep();
        Option<UpstreamState> choice =
                fleet.choose(state.service(), untried, most, step, preferred, now);
        if (choice.isEmpty() && work.kind().waitsForSlot()) {
            return fleet.choose(state.service(), suitable, most, step, preferred, now);
        }
        // A live call rather goes to an upstream in a pause than nowhere.
        return choice.orElse(
                () ->
                        work.kind().waitsForSlot()
                                ? Option.none()
                                : fleet.choosePaused(state.service(), untried));
    }

    private void start(
            ForwardCallState state,
            UpstreamState upstream,
            ForwardAction.StartReason reason,
            long now,
            ActionSink<ForwardAction> actions) {
        ForwardCall work = state.work();
        dequeue(state);
        int load = upstream.load(now);
        int attempt = state.start(upstream);
        upstream.callStarted(now);
        attempts.put(new AttemptKey(work.number(), attempt), upstream);
        if (!work.affinity().isEmpty()) {
            affinities.put(work.affinity(), upstream.spec().id());
        }
        boolean maySendAgain = work.idempotent() && work.hedgeAfterNanos() != NO_TIMER;
        if (maySendAgain && state.mayBeSentAgain()) {
            timers.add(new Timer(now + work.hedgeAfterNanos(), work.number(), TimerKind.HEDGE));
        }
        actions.emit(new ForwardAction.Start(work, attempt, upstream.spec(), reason, load));
    }

    private void ended(
            ForwardEvent.AttemptEnded event, long now, ActionSink<ForwardAction> actions) {
        AttemptReport report = event.report();
        AttemptOutcome outcome = report.outcome();
        UpstreamState upstream = attempts.remove(new AttemptKey(event.number(), event.attempt()));
        if (upstream == null) {
            return;
        }
        upstream.callEnded(report.load(), outcome.isUpstreamFault(), outcome.isRefusal(), now);
        ForwardCallState state = works.get(event.number());
        if (state != null) {
            if (report.version() > 0) {
                upstream.observeVersion(state.work().model(), report.version());
            }
            state.end(event.attempt(), outcome);
            afterAttempt(state, event.attempt(), outcome, now, actions);
        }
        drainQueue(now, actions);
    }

    private void afterAttempt(
            ForwardCallState state,
            int attempt,
            AttemptOutcome outcome,
            long now,
            ActionSink<ForwardAction> actions) {
        boolean usable = outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.REJECTED;
        if (usable) {
            finish(state, actions);
            actions.emit(new ForwardAction.Deliver(state.work().number(), attempt));
        } else if (state.mayBeSentAgain()) {
            retry(state, outcome, now, actions);
        } else if (!state.isRunning()) {
            giveUp(state, attempt, outcome, actions);
        }
    }

    private void retry(
            ForwardCallState state,
            AttemptOutcome outcome,
            long now,
            ActionSink<ForwardAction> actions) {
        if (state.work().kind().waitsForSlot() && outcome == AttemptOutcome.FAILED) {
            state.forgetTried();
            timers.add(new Timer(now + FAILURE_PAUSE, state.work().number(), TimerKind.RETRY));
            return;
        }
        startOrWait(state, ForwardAction.StartReason.RETRY, now, actions);
    }

    private void giveUp(
            ForwardCallState state,
            int attempt,
            AttemptOutcome outcome,
            ActionSink<ForwardAction> actions) {
        long number = state.work().number();
        finish(state, actions);
        if (state.work().kind() == ForwardCallKind.LIVE && outcome.hasResponse()) {
            actions.emit(new ForwardAction.Deliver(number, attempt));
        } else if (state.work().kind() != ForwardCallKind.LIVE) {
            actions.emit(new ForwardAction.Refuse(number, ForwardRefusal.EXHAUSTED, 0));
        } else if (state.mayHaveRun()) {
            actions.emit(new ForwardAction.Refuse(number, ForwardRefusal.ANSWER_LOST, 0));
        } else {
            actions.emit(
                    new ForwardAction.Refuse(
                            number, ForwardRefusal.UPSTREAMS_FULL, RETRY_AFTER_MILLIS));
        }
    }

    private void refuseUnsent(ForwardCallState state, ActionSink<ForwardAction> actions) {
        finish(state, actions);
        ForwardRefusal reason =
                state.mayHaveRun()
                        ? ForwardRefusal.ANSWER_LOST
                        : state.attempts() > 0
                                ? ForwardRefusal.UPSTREAMS_FULL
                                : ForwardRefusal.NO_UPSTREAM;
        actions.emit(
                new ForwardAction.Refuse(
                        state.work().number(), reason, reason.isNotRun() ? RETRY_AFTER_MILLIS : 0));
    }

    private void fire(Timer timer, long now, ActionSink<ForwardAction> actions) {
        ForwardCallState state = works.get(timer.number);
        if (state == null) {
            return;
        }
        switch (timer.kind) {
            case DEADLINE -> {
                boolean mayHaveRun = state.mayHaveRun();
                finish(state, actions);
                actions.emit(
                        new ForwardAction.Refuse(
                                timer.number,
                                mayHaveRun ? ForwardRefusal.LATE : ForwardRefusal.LATE_NOT_RUN,
                                mayHaveRun ? 0 : RETRY_AFTER_MILLIS));
            }
            case HEDGE -> {
                state.runningUpstreams().forEach(upstream -> upstream.markSlow(now));
                if (state.isRunning() && state.mayBeSentAgain()) {
                    startOrWait(state, ForwardAction.StartReason.HEDGE, now, actions);
                }
            }
            case RETRY -> startOrWait(state, ForwardAction.StartReason.RETRY, now, actions);
        }
    }

    private void withdrawn(long number, ActionSink<ForwardAction> actions) {
        ForwardCallState state = works.get(number);
        if (state != null) {
            finish(state, actions);
        }
    }

    private void finish(ForwardCallState state, ActionSink<ForwardAction> actions) {
        long number = state.work().number();
        works.remove(number);
        dequeue(state);
        for (int attempt : state.runningAttempts()) {
            actions.emit(new ForwardAction.Cancel(number, attempt));
        }
    }

    private void enqueue(ForwardCallState state, long now) {
        // A hedge of a call that is still running does not wait for a slot.
        if (state.isRunning()) {
            return;
        }
        queue.add(state.work());
        state.setQueued(true);
        queueTimer = Math.min(queueTimer, now + QUEUE_INTERVAL);
    }

    private void dequeue(ForwardCallState state) {
        if (state.isQueued()) {
            queue.remove(state.work());
            state.setQueued(false);
        }
    }

    private void drainQueue(long now, ActionSink<ForwardAction> actions) {
        if (queue.isEmpty()) {
            return;
        }
        List<ForwardCall> waiting = new ArrayList<>(queue);
        for (ForwardCall work : waiting) {
            ForwardCallState state = works.get(work.number());
            if (state != null && state.isQueued()) {
                Option<UpstreamState> upstream = choose(state, now);
                upstream.forEach(
                        chosen -> {
                            ForwardAction.StartReason reason =
                                    state.attempts() == 0
                                            ? ForwardAction.StartReason.FIRST
                                            : ForwardAction.StartReason.RETRY;
                            start(state, chosen, reason, now, actions);
                        });
            }
        }
        if (!queue.isEmpty()) {
            queueTimer = Math.min(queueTimer, now + QUEUE_INTERVAL);
        }
    }

    private record AttemptKey(long number, int attempt) {}

    private record Timer(long at, long number, TimerKind kind) {}

    private enum TimerKind {
        DEADLINE,
        HEDGE,
        RETRY
    }
}
