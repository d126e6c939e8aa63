package org.fuchsialever.decisions.forward;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.domain.DomainSpill;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.decisions.queue.Queueing;
import org.fuchsialever.kernel.duty.Duty;

/** Several forward duties over one pool of upstreams whose runs advance in small steps of time. */
final class PoolModel {
    static final long MILLI = ForwardDutyFixture.MILLI;
    static final int SLOTS = 6;
    private static final long STEP_MILLIS = 5;
    private static final long PACE_MILLIS = 500;
    private static final double LOAD_SLOPE = 0.024;

    final Map<Long, Long> mEndMillis = new HashMap<>();
    final List<Integer> mStarts = new ArrayList<>();
    private final Random mRandom;
    private final double[] mSpeeds;
    private final double mEventMillis;
    private final List<List<Run>> mRuns = new ArrayList<>();
    private final List<ForwardDuty> mDuties = new ArrayList<>();
    private final List<Runnable> mNext = new ArrayList<>();
    private final Map<Long, Double> mWork = new HashMap<>();
    private long mMillis = 1;
    private final double[] mSlowdowns;
    private long mNextDraw;
    private Reports mReports = Reports.WITH_SLOWDOWN;

    /**
     * Creates idle upstreams.
     *
     * @param speeds how many times as long an event takes at each
     * @param eventMillis time for one event, or for a call that is not a stream
     */
    PoolModel(
            long seed,
            int duties,
            UpstreamBalancing balancing,
            double eventMillis,
            double... speeds) {
        mRandom = new Random(seed);
        mSpeeds = speeds;
        mEventMillis = eventMillis;
        mSlowdowns = new double[speeds.length];
        for (int i = 0; i < speeds.length; i++) {
            mRuns.add(new ArrayList<>());
        }
        for (int i = 0; i < duties; i++) {
            mDuties.add(
                    new ForwardDuty(
                            new SplittableRandom(seed + i),
                            balancing,
                            Queueing.AUTO,
                            0,
                            DomainSpill.disabled(new SplittableRandom(seed + i))));
            send(i, new ForwardEvent.FleetChanged(upstreams(-1)));
        }
    }

    long millis() {
        return mMillis;
    }

    long endMillis(long number) {
        return mEndMillis.getOrDefault(number, Long.MAX_VALUE);
    }

    /** What the responses of the upstreams state. */
    enum Reports {
        WITH_SLOWDOWN,
        WITHOUT_SLOWDOWN,
        NONE
    }

    void setReports(Reports reports) {
        mReports = reports;
    }

    /** Returns the calls that the busiest upstream got, divided by the mean of all. */
    double busiestToMean(int fromStart) {
        int[] counts = new int[mSpeeds.length];
        mStarts.subList(fromStart, mStarts.size()).forEach(upstream -> counts[upstream]++);
        IntSummaryStatistics statistics = Arrays.stream(counts).summaryStatistics();
        return statistics.getMax() / statistics.getAverage();
    }

    /** Breaks all runs at an upstream and takes it off the list of all instances. */
    void lose(int upstream) {
        List<Run> lost = List.copyOf(mRuns.get(upstream));
        mRuns.get(upstream).clear();
        for (int i = 0; i < mDuties.size(); i++) {
            send(i, new ForwardEvent.FleetChanged(upstreams(upstream)));
        }
        lost.forEach(run -> end(run, AttemptOutcome.LOST));
    }

    private List<FleetUpstream> upstreams(int lost) {
        List<FleetUpstream> listed = new ArrayList<>();
        for (int i = 0; i < mSpeeds.length; i++) {
            if (i != lost) {
                listed.add(
                        new FleetUpstream(
                                "u" + i,
                                "s",
                                "10.0.0.1",
                                i + 1,
                                "z",
                                SLOTS,
                                true,
                                Map.of("m", 1L),
                                1));
            }
        }
        return listed;
    }

    /** Submits an item to a duty; the lengths are in events. */
    void submit(int duty, long number, double events, long hint, boolean isLong) {
        mWork.put(number, events);
        send(
                duty,
                new ForwardEvent.Arrived(
                        call(number, ForwardCallKind.ITEM, "m", hint, isLong, -hint)));
    }

    /** Submits a call that is not a stream, with its length as a multiple of the usual one. */
    void submit(int duty, long number, ForwardCallKind kind, double length) {
        mWork.put(number, length);
        send(duty, new ForwardEvent.Arrived(call(number, kind, "", 0, false, number)));
    }

    private ForwardCall call(
            long number, ForwardCallKind kind, String model, long hint, boolean isLong, long rank) {
        return new ForwardCall(
                number,
                kind,
                List.of(new ServiceShare("s", 1)),
                true,
                3,
                model,
                1,
                "",
                new CallTraits("", 0, hint),
                rank,
                isLong,
                mMillis * MILLI,
                Duty.NO_TIMER,
                Duty.NO_TIMER);
    }

    void runUntil(long millis) {
        while (mMillis < millis) {
            mMillis += STEP_MILLIS;
            List<Runnable> due = List.copyOf(mNext);
            mNext.clear();
            due.forEach(Runnable::run);
            for (int i = 0; i < mDuties.size(); i++) {
                if (mDuties.get(i).nextTimerNanos() <= mMillis * MILLI) {
                    int duty = i;
                    mDuties.get(i).onTimer(mMillis * MILLI, action -> perform(duty, action));
                }
            }
            for (int i = 0; i < mSpeeds.length; i++) {
                advance(i);
            }
        }
    }

    private void send(int duty, ForwardEvent event) {
        mDuties.get(duty).onEvent(event, mMillis * MILLI, action -> perform(duty, action));
    }

    private void perform(int duty, ForwardAction action) {
        if (action instanceof ForwardAction.Start start) {
            int upstream = start.upstream().port() - 1;
            mStarts.add(upstream);
            mRuns.get(upstream).add(new Run(duty, start));
        } else if (action instanceof ForwardAction.Cancel cancel) {
            for (List<Run> runs : mRuns) {
                for (Run run : List.copyOf(runs)) {
                    if (run.mDuty == duty
                            && run.mNumber == cancel.number()
                            && run.mAttempt == cancel.attempt()) {
                        runs.remove(run);
                        end(run, AttemptOutcome.CANCELLED);
                    }
                }
            }
        } else if (action instanceof ForwardAction.Deliver deliver) {
            mEndMillis.put(deliver.number(), mMillis);
        }
    }

    private void end(Run run, AttemptOutcome outcome) {
        mNext.add(
                () ->
                        send(
                                run.mDuty,
                                new ForwardEvent.AttemptEnded(
                                        run.mNumber,
                                        run.mAttempt,
                                        new AttemptReport(outcome, run.mLoad, 0))));
    }

    /** Neighbours slow one upstream in seven by 2.5, drawn anew every 600 ms. */
    double slowdown(int upstream) {
        if (mMillis >= mNextDraw) {
            mNextDraw = mMillis + 600;
            for (int i = 0; i < mSlowdowns.length; i++) {
                mSlowdowns[i] = mRandom.nextDouble() < 0.15 ? 2.5 : 1;
            }
        }
        return mSlowdowns[upstream];
    }

    private void advance(int upstream) {
        List<Run> runs = mRuns.get(upstream);
        int running = Math.min(SLOTS, runs.size());
        double slowdown = slowdown(upstream);
        double perEvent =
                mEventMillis * mSpeeds[upstream] * slowdown * (1 + LOAD_SLOPE * (running - 1));
        for (Run run : List.copyOf(runs.subList(0, running))) {
            if (run.mStartedMillis < 0) {
                run.mStartedMillis = mMillis;
                reportLoad(run, running, runs.size() - running, slowdown);
            }
            run.advance(STEP_MILLIS / perEvent);
            if (mWork.getOrDefault(run.mNumber, 0.0) <= 1e-9) {
                runs.remove(run);
                reportPace(run, true);
                end(run, AttemptOutcome.ANSWERED);
            } else if (mMillis - run.mPaceMillis >= PACE_MILLIS && run.mEvents >= 3) {
                reportPace(run, false);
            }
        }
    }

    private void reportLoad(Run run, int running, int waiting, double slowdown) {
        if (mReports == Reports.NONE) {
            return;
        }
        Option<Double> reported =
                mReports == Reports.WITH_SLOWDOWN ? Option.some(slowdown) : Option.none();
        LoadHint hint = new LoadHint(running, waiting, SLOTS, reported);
        run.mLoad = Option.some(hint);
        mNext.add(
                () ->
                        send(
                                run.mDuty,
                                new ForwardEvent.LoadReported(run.mNumber, run.mAttempt, hint)));
    }

    private void reportPace(Run run, boolean ended) {
        boolean stream = run.mKind == ForwardCallKind.ITEM;
        if (stream && run.mEvents >= 3) {
            long pace = (long) ((mMillis - run.mPaceMillis) * MILLI / run.mEvents);
            run.mPaceMillis = mMillis;
            run.mEvents = 0;
            mNext.add(
                    () ->
                            send(
                                    run.mDuty,
                                    ended
                                            ? new ForwardEvent.PaceMeasured(
                                                    run.mNumber, run.mAttempt, pace)
                                            : new ForwardEvent.Progressed(
                                                    run.mNumber, run.mAttempt, pace)));
        }
    }

    private final class Run {
        final int mDuty;
        final long mNumber;
        final int mAttempt;
        final ForwardCallKind mKind;
        long mStartedMillis = -1;
        long mPaceMillis = mMillis;
        double mEvents;
        Option<LoadHint> mLoad = Option.none();

        Run(int duty, ForwardAction.Start start) {
            mDuty = duty;
            mNumber = start.call().number();
            mAttempt = start.attempt();
            mKind = start.call().kind();
        }

        void advance(double events) {
            if (mEvents == 0) {
                mPaceMillis = Math.max(mPaceMillis, mMillis - STEP_MILLIS);
            }
            mEvents += events;
            mWork.merge(mNumber, -events, Double::sum);
        }
    }
}
