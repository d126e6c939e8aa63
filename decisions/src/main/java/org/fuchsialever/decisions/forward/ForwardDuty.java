package org.fuchsialever.decisions.forward;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.domain.DomainSpill;
import org.fuchsialever.decisions.fleet.ChosenUpstream;
import org.fuchsialever.decisions.fleet.Fleet;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.fleet.ServiceProfile;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.fuchsialever.decisions.fleet.UpstreamState;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.decisions.queue.Queueing;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Sends calls to upstreams, retries and hedges them where that is safe, queues items until an
 * upstream has a free slot and refuses calls that cannot run.
 */
public final class ForwardDuty implements Duty<ForwardEvent, ForwardAction> {
    /** Retry hint for refused callers: most live calls finish within this time. */
    private static final long RETRY_AFTER_MILLIS = 100;

    /** Delay before an item is retried after an upstream responded with a server error. */
    private static final long FAILURE_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Bounds how often a call moves, because each move reads the prompt again. */
    private static final int MAX_MOVES = 3;

    private final Fleet mFleet;
    private final RandomGenerator mRandom;
    private final UpstreamChoice mChoice;
    private final Queueing mQueueing;
    private final DomainSpill mDomains;
    private final DomainSurcharge mSurcharge;
    private final Map<Long, ForwardCallState> mCalls = new HashMap<>();
    private final Map<AttemptKey, RunningAttempt> mAttempts = new HashMap<>();
    private final PriorityQueue<CallTimer> mTimers =
            new PriorityQueue<>(Comparator.comparingLong(CallTimer::at));
    private final CallQueue mQueue = new CallQueue();
    private final LiveWait mLiveWait;
    private final QueueLengths mLengths = new QueueLengths();
    private final ServingReport mServing;

    /**
     * Creates a duty without upstreams; they arrive with the first change of the fleet.
     *
     * @param balancing what the calls of a service go by
     * @param queueing by which rules calls wait and are refused
     * @param leavingNanos how long after it has announced that it is leaving an upstream may get
     *     calls that no other upstream can run
     * @param domains decides which calls leave the failure domain of the instance
     */
    public ForwardDuty(
            RandomGenerator random,
            UpstreamBalancing balancing,
            Queueing queueing,
            long leavingNanos,
            DomainSpill domains) {
        mRandom = random;
        mQueueing = queueing;
        mFleet = new Fleet(random);
        mServing = new ServingReport(mFleet, leavingNanos);
        mDomains = domains;
        mSurcharge = new DomainSurcharge(mFleet, domains);
        mChoice = new UpstreamChoice(mFleet, balancing, leavingNanos, mSurcharge);
        mLiveWait = new LiveWait(mFleet, mQueue, random);
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
            attemptEnded(ended, nowNanos, actions);
        } else if (event instanceof ForwardEvent.Progressed progressed) {
            progressed(progressed, nowNanos, actions);
        } else if (event instanceof ForwardEvent.PaceMeasured measured) {
            attempt(measured.number(), measured.attempt())
                    .map(RunningAttempt::upstream)
                    .forEach(up -> up.observeStreamPace(measured.nanosPerEvent(), nowNanos));
        } else if (event instanceof ForwardEvent.LoadReported reported) {
            attempt(reported.number(), reported.attempt())
                    .forEach(
                            attempt ->
                                    noteLoad(
                                            attempt,
                                            Option.some(reported.load()),
                                            nowNanos,
                                            actions));
        } else if (event instanceof ForwardEvent.Cancelled cancelled) {
            // A slot is free only when the end of the attempt is reported.
            cancelled(cancelled.number(), actions);
        } else if (event instanceof ForwardEvent.LeavingAnnounced announced) {
            boolean added =
                    mFleet.markLeaving(
                            announced.upstream(), announced.sinceNanos(), announced.wallMillis());
            if (added) {
                actions.emit(new ForwardAction.NoteLeaving(announced.upstream()));
                mServing.update(actions);
            }
        } else if (event instanceof ForwardEvent.TeamsWeighed weighed) {
            mQueue.setWeights(weighed.weights());
        } else if (event instanceof ForwardEvent.FleetChanged changed) {
            mFleet.update(changed.upstreams());
            mServing.update(actions);
            mQueue.noteUpstreams(changed.upstreams(), this::queuesFairly);
            drainQueue(nowNanos, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<ForwardAction> actions) {
        CallTimer timer = mTimers.peek();
        while (timer != null && timer.at() <= nowNanos) {
            mTimers.poll();
            fire(timer, nowNanos, actions);
            timer = mTimers.peek();
        }
        if (mQueue.nextTimerNanos() <= nowNanos) {
            drainQueue(nowNanos, actions);
        }
    }

    @Override
    public long nextTimerNanos() {
        CallTimer timer = mTimers.peek();
        return Math.min(mQueue.nextTimerNanos(), timer == null ? NO_TIMER : timer.at());
    }

    private void arrived(ForwardCall call, long now, ActionSink<ForwardAction> actions) {
        ForwardCallState state =
                new ForwardCallState(call, ServiceShare.pick(call.shares(), mRandom));
        mCalls.put(call.number(), state);
        if (call.deadlineNanos() != NO_TIMER) {
            mTimers.add(
                    new CallTimer(call.deadlineNanos(), call.number(), CallTimer.Kind.DEADLINE));
        }
        startOrQueue(state, ForwardAction.StartReason.FIRST, now, actions);
    }

    private boolean queuesFairly(String service) {
        return mQueueing.isFair(mFleet.profile(service).reportsSlowdown());
    }

    private void startOrQueue(
            ForwardCallState state,
            ForwardAction.StartReason reason,
            long now,
            ActionSink<ForwardAction> actions) {
        boolean mayQueue = !state.isRunning() && reason != ForwardAction.StartReason.HEDGE;
        if (mayQueue && mQueue.isFair(state.service()) && joinsFairQueue(state, now)) {
            mQueue.add(state, now);
            mQueue.drainFair(state.service(), waiting -> startQueued(waiting, now, actions), now);
        } else {
            startNow(state, reason, now, actions);
        }
    }

    private void startNow(
            ForwardCallState state,
            ForwardAction.StartReason reason,
            long now,
            ActionSink<ForwardAction> actions) {
        Option<ChosenUpstream> chosen = choose(state, now, actions);
        if (chosen.isDefined()) {
            start(state, chosen.get(), reason, now, actions);
        } else if (state.call().kind().waitsForSlot()) {
            enqueue(state, now);
        } else if (!state.isRunning() && reason != ForwardAction.StartReason.HEDGE) {
            refuseWithoutUpstream(state, now, actions);
        }
    }

    /** Returns whether a call takes its turn among those that wait, instead of being sent. */
    private boolean joinsFairQueue(ForwardCallState state, long now) {
        ForwardCall call = state.call();
        if (call.kind().waitsForSlot()) {
            return true;
        }
        boolean waits =
                (mQueue.lengthAhead(state) > 0 || !mLiveWait.hasRoom(state, now))
                        && mLiveWait.isWorthWaiting(state, now);
        if (waits) {
            mTimers.add(
                    new CallTimer(
                            mLiveWait.waitsUntil(call), call.number(), CallTimer.Kind.WAIT_OVER));
        }
        return waits;
    }

    /** Records the pace of the upstream and moves the call if another one is much faster. */
    private void progressed(
            ForwardEvent.Progressed event, long now, ActionSink<ForwardAction> actions) {
        RunningAttempt running = mAttempts.get(new AttemptKey(event.number(), event.attempt()));
        ForwardCallState state = mCalls.get(event.number());
        if (running == null || state == null) {
            return;
        }
        UpstreamState upstream = running.upstream();
        upstream.observePace(event.nanosPerEvent(), now);
        upstream.observeStreamPace(event.nanosPerEvent(), now);
        ForwardCall call = state.call();
        boolean mayMove =
                call.kind().movesWhileRunning()
                        && state.moves() < MAX_MOVES
                        && state.runningAttempts().size() == 1;
        if (!mayMove) {
            return;
        }
        long elapsed = running.elapsedNanos(now);
        mChoice.moveTarget(state, upstream, elapsed, now)
                .forEach(
                        chosen -> {
                            mChoice.noteWorkDone(state, upstream, elapsed, now);
                            state.supersede(event.attempt());
                            actions.emit(new ForwardAction.Cancel(event.number(), event.attempt()));
                            // Started at once, because another call may take the free slot
                            // meanwhile.
                            start(state, chosen, ForwardAction.StartReason.MOVE, now, actions);
                        });
    }

    private void start(
            ForwardCallState state,
            ChosenUpstream chosen,
            ForwardAction.StartReason reason,
            long now,
            ActionSink<ForwardAction> actions) {
        ForwardCall call = state.call();
        UpstreamState upstream = chosen.upstream();
        if (!mQueue.remove(state)) {
            mQueue.chargeDirectStart(state);
        }
        int load = upstream.load(now);
        int attempt = state.start(upstream, now);
        upstream.callStarted(now);
        mAttempts.put(new AttemptKey(call.number(), attempt), new RunningAttempt(upstream, now));
        mChoice.noteStart(call, upstream);
        boolean maySendAgain = call.idempotent() && call.hedgeAfterNanos() != NO_TIMER;
        if (maySendAgain && state.mayBeSentAgain()) {
            mTimers.add(
                    new CallTimer(
                            now + call.hedgeAfterNanos(), call.number(), CallTimer.Kind.HEDGE));
        }
        actions.emit(
                new ForwardAction.Start(
                        call,
                        attempt,
                        upstream.spec(),
                        reason,
                        load,
                        chosen.basis(),
                        chosen.expectedNanos()));
    }

    private void attemptEnded(
            ForwardEvent.AttemptEnded event, long now, ActionSink<ForwardAction> actions) {
        AttemptReport report = event.report();
        AttemptOutcome outcome = report.outcome();
        RunningAttempt ended = mAttempts.remove(new AttemptKey(event.number(), event.attempt()));
        if (ended == null) {
            return;
        }
        UpstreamState upstream = ended.upstream();
        noteLoad(ended, report.load(), now, actions);
        if (outcome.wasSent() && !outcome.isRefusal() && !outcome.isUpstreamFault()) {
            mLiveWait.noteEnd(upstream.spec().service(), now);
        }
        upstream.callEnded(report.load(), outcome.isUpstreamFault(), outcome.isRefusal(), now);
        ForwardCallState state = mCalls.get(event.number());
        if (state != null) {
            if (report.version() > 0) {
                upstream.observeVersion(state.call().model(), report.version());
            }
            boolean superseded = state.end(event.attempt(), outcome);
            if (!superseded) {
                noteTime(state, ended, outcome, now);
                afterAttempt(state, event.attempt(), outcome, now, actions);
            }
        }
        drainQueue(now, actions);
    }

    private void noteLoad(
            RunningAttempt attempt,
            Option<LoadHint> load,
            long now,
            ActionSink<ForwardAction> actions) {
        attempt.observeLoad(load, now);
        String service = attempt.upstream().spec().service();
        ServiceProfile profile = mFleet.profile(service);
        boolean reported = load.exists(hint -> hint.slowdown().isDefined());
        if (reported && !profile.reportsSlowdown()) {
            profile.noteSlowdownReported();
            if (mQueueing == Queueing.AUTO) {
                mQueue.queueFairly(service);
                mQueue.setSlots(
                        service,
                        mFleet.ofService(service).stream()
                                .mapToInt(listed -> listed.spec().slots())
                                .sum());
                actions.emit(new ForwardAction.QueueFairly(service));
            }
        }
    }

    private void noteTime(
            ForwardCallState state, RunningAttempt ended, AttemptOutcome outcome, long now) {
        long elapsed = ended.elapsedNanos(now);
        if (outcome == AttemptOutcome.LOST) {
            mChoice.noteWorkDone(state, ended.upstream(), elapsed, now);
        } else if (outcome == AttemptOutcome.ANSWERED && state.attempts() == 1) {
            mChoice.noteAnswered(state, ended.upstream(), elapsed, now);
            mSurcharge.noteAnswered(state, elapsed);
        }
    }

    private Option<RunningAttempt> attempt(long number, int attempt) {
        return Option.of(mAttempts.get(new AttemptKey(number, attempt)));
    }

    private void afterAttempt(
            ForwardCallState state,
            int attempt,
            AttemptOutcome outcome,
            long now,
            ActionSink<ForwardAction> actions) {
        boolean rejected = outcome == AttemptOutcome.REJECTED;
        if (outcome == AttemptOutcome.ANSWERED || rejected && state.call().kind().takesFailures()) {
            finish(state, actions);
            actions.emit(new ForwardAction.Deliver(state.call().number(), attempt));
        } else if (rejected) {
            finish(state, actions);
            actions.emit(
                    new ForwardAction.Refuse(state.call().number(), ForwardRefusal.REJECTED, 0));
        } else if (state.mayBeSentAgain()) {
            retry(state, outcome, now, actions);
        } else if (!state.isRunning()) {
            giveUp(state, attempt, outcome, now, actions);
        }
    }

    private void retry(
            ForwardCallState state,
            AttemptOutcome outcome,
            long now,
            ActionSink<ForwardAction> actions) {
        if (state.call().kind().waitsForSlot() && outcome == AttemptOutcome.FAILED) {
            state.clearTried();
            mTimers.add(
                    new CallTimer(
                            now + FAILURE_RETRY_DELAY_NANOS,
                            state.call().number(),
                            CallTimer.Kind.RETRY));
            return;
        }
        startOrQueue(state, ForwardAction.StartReason.RETRY, now, actions);
    }

    private void giveUp(
            ForwardCallState state,
            int attempt,
            AttemptOutcome outcome,
            long now,
            ActionSink<ForwardAction> actions) {
        long number = state.call().number();
        finish(state, actions);
        if (state.call().kind().takesFailures() && outcome.hasResponse()) {
            actions.emit(new ForwardAction.Deliver(number, attempt));
        } else if (!state.call().kind().takesFailures()) {
            actions.emit(new ForwardAction.Refuse(number, ForwardRefusal.EXHAUSTED, 0));
        } else if (state.mayHaveRun()) {
            actions.emit(new ForwardAction.Refuse(number, ForwardRefusal.ANSWER_LOST, 0));
        } else {
            actions.emit(
                    new ForwardAction.Refuse(
                            number, ForwardRefusal.UPSTREAMS_FULL, retryAfterMillis(state, now)));
        }
    }

    private void refuseWithoutUpstream(
            ForwardCallState state, long now, ActionSink<ForwardAction> actions) {
        finish(state, actions);
        ForwardRefusal reason =
                state.mayHaveRun()
                        ? ForwardRefusal.ANSWER_LOST
                        : state.attempts() > 0
                                ? ForwardRefusal.UPSTREAMS_FULL
                                : ForwardRefusal.NO_UPSTREAM;
        actions.emit(
                new ForwardAction.Refuse(
                        state.call().number(),
                        reason,
                        reason.isNotRun() ? retryAfterMillis(state, now) : 0));
    }

    private long retryAfterMillis(ForwardCallState state, long now) {
        return mQueue.isFair(state.service())
                ? mLiveWait.retryAfterMillis(state, now)
                : RETRY_AFTER_MILLIS;
    }

    private void fire(CallTimer timer, long now, ActionSink<ForwardAction> actions) {
        ForwardCallState state = mCalls.get(timer.number());
        if (state == null) {
            return;
        }
        switch (timer.kind()) {
            case DEADLINE -> {
                boolean mayHaveRun = state.mayHaveRun();
                finish(state, actions);
                actions.emit(
                        new ForwardAction.Refuse(
                                timer.number(),
                                mayHaveRun ? ForwardRefusal.LATE : ForwardRefusal.LATE_NOT_RUN,
                                mayHaveRun ? 0 : retryAfterMillis(state, now)));
            }
            case HEDGE -> {
                state.runningUpstreams().forEach(upstream -> upstream.markSlow(now));
                if (state.isRunning() && state.mayBeSentAgain()) {
                    startOrQueue(state, ForwardAction.StartReason.HEDGE, now, actions);
                }
            }
            case WAIT_OVER -> {
                if (mQueue.remove(state)) {
                    startNow(state, state.nextStartReason(), now, actions);
                }
            }
            case RETRY -> startOrQueue(state, ForwardAction.StartReason.RETRY, now, actions);
        }
    }

    private void cancelled(long number, ActionSink<ForwardAction> actions) {
        ForwardCallState state = mCalls.get(number);
        if (state != null) {
            finish(state, actions);
        }
    }

    private void finish(ForwardCallState state, ActionSink<ForwardAction> actions) {
        long number = state.call().number();
        mCalls.remove(number);
        mQueue.remove(state);
        for (int attempt : state.runningAttempts()) {
            actions.emit(new ForwardAction.Cancel(number, attempt));
        }
    }

    private Option<ChosenUpstream> choose(
            ForwardCallState state, long now, ActionSink<ForwardAction> actions) {
        Option<ChosenUpstream> chosen = mChoice.next(state, now);
        mDomains.drainChanges(change -> actions.emit(new ForwardAction.NoteDomainShare(change)));
        return chosen;
    }

    private void enqueue(ForwardCallState state, long now) {
        // A hedge of a call that is still running does not wait for a slot.
        if (state.isRunning()) {
            return;
        }
        mQueue.add(state, now);
    }

    private void drainQueue(long now, ActionSink<ForwardAction> actions) {
        mQueue.drain(state -> startQueued(state, now, actions), now);
        mLengths.report(mQueue, now, actions);
    }

    private boolean startQueued(
            ForwardCallState state, long now, ActionSink<ForwardAction> actions) {
        boolean queuedLive = !state.call().kind().waitsForSlot();
        if (queuedLive && !mLiveWait.hasRoom(state, now)) {
            return false;
        }
        Option<ChosenUpstream> upstream = choose(state, now, actions);
        upstream.forEach(chosen -> start(state, chosen, state.nextStartReason(), now, actions));
        return upstream.isDefined();
    }

    private record AttemptKey(long number, int attempt) {}
}
