package org.fuchsialever.benchmarks.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentEvent;
import org.fuchsialever.decisions.intent.IntentTiming;
import org.fuchsialever.decisions.intent.Journal;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.decisions.weights.LoadCommand;
import org.fuchsialever.decisions.weights.RollingUpdateLimits;
import org.fuchsialever.decisions.weights.WeightAction;
import org.fuchsialever.decisions.weights.WeightDuty;
import org.fuchsialever.decisions.weights.WeightEvent;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/**
 * Measures how long a rollout takes under a simulated clock: the weight duty before engines that
 * fetch from a store with a rate, load, and report once a second. Journal writes take 20 ms, the
 * order 2 ms. Arguments: engines, loads per second, mean load time in milliseconds, seed.
 */
public final class RolloutExperiment {
    private static final int DOMAINS = 41;
    private static final long SECOND = 1_000_000_000L;
    private static final long WRITE_NANOS = 20_000_000L;
    private static final long ORDER_NANOS = 2_000_000L;
    private static final long LIMIT = 600 * SECOND;
    private static final long PUBLISHED_AT = 5 * SECOND;
    private static final double FAILING_SHARE = 0.002;

    private final PriorityQueue<Task> mAgenda =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final Map<UpstreamId, Engine> mEngines = new LinkedHashMap<>();
    private final SplittableRandom mRandom;
    private final WeightDuty mDuty;
    private final double mMeanLoadNanos;
    private long mNow;
    private long mOrder;
    private long mJournalVersion;
    private long mJournalWrites;
    private int mMostOpen;
    private int mFailedLoads;
    private int mLoading;
    private int mMostLoading;
    private int mCurrent;
    private final List<Long> mLoadStarts = new ArrayList<>();

    private RolloutExperiment(int count, double rate, double loadMillis, long seed) {
        mRandom = new SplittableRandom(seed);
        mMeanLoadNanos = loadMillis * 1e6;
        mDuty =
                new WeightDuty(
                        "model",
                        RollingUpdateLimits.standard(rate),
                        IntentTiming.standard(Duration.ofSeconds(10)),
                        new SplittableRandom(seed),
                        0,
                        InvariantMonitor.throwing());
        List<WeightEvent.Engine> specs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            UpstreamId id = new UpstreamId("engine-" + i);
            mEngines.put(id, new Engine(id));
            specs.add(new WeightEvent.Engine(id, new FailureDomain("d" + i % DOMAINS), i % 2 == 0));
        }
        event(new WeightEvent.EnginesChanged(specs));
        event(new WeightEvent.RoleEvent(new IntentEvent.LeaseAcquired<>(1)));
        mEngines.values().forEach(engine -> after(mRandom.nextLong(SECOND), engine::report));
    }

    /** Runs one rollout and prints its figures. */
    public static void main(String[] arguments) {
        int count = Integer.parseInt(arguments[0]);
        double rate = Double.parseDouble(arguments[1]);
        double loadMillis = Double.parseDouble(arguments[2]);
        RolloutExperiment run =
                new RolloutExperiment(count, rate, loadMillis, Long.parseLong(arguments[3]));
        long doneAt = run.untilAllReport();
        System.out.printf(
                Locale.ROOT,
                "%d engines, %.0f loads/s, load %.0f ms: done after %.1f s, %d failed loads, most"
                        + " loading %d, journal writes %d, most open intents %d, greatest rate"
                        + " %d/s%n",
                count,
                rate,
                loadMillis,
                (doneAt - PUBLISHED_AT) / 1e9,
                run.mFailedLoads,
                run.mMostLoading,
                run.mJournalWrites,
                run.mMostOpen,
                run.greatestRate());
    }

    private long untilAllReport() {
        while (mCurrent < mEngines.size() && mNow < LIMIT) {
            Task task = mAgenda.peek();
            long next = Math.min(task == null ? LIMIT : task.at, mDuty.nextTimerNanos());
            mNow = Math.max(mNow, next);
            if (task != null && task.at <= mNow) {
                mAgenda.remove().run.run();
            } else {
                mDuty.onTimer(mNow, this::carryOut);
            }
        }
        return mNow;
    }

    private int greatestRate() {
        int greatest = 0;
        int first = 0;
        for (int last = 0; last < mLoadStarts.size(); last++) {
            while (mLoadStarts.get(last) - mLoadStarts.get(first) >= SECOND) {
                first++;
            }
            greatest = Math.max(greatest, last - first + 1);
        }
        return greatest;
    }

    private void after(long nanos, Runnable run) {
        mAgenda.add(new Task(mNow + nanos, mOrder++, run));
    }

    private void event(WeightEvent event) {
        mDuty.onEvent(event, mNow, this::carryOut);
    }

    private void role(long delay, IntentEvent<LoadCommand> event) {
        after(delay, () -> event(new WeightEvent.RoleEvent(event)));
    }

    private void carryOut(WeightAction action) {
        if (action instanceof WeightAction.ReadLatestVersion) {
            long version = mNow < PUBLISHED_AT ? 1 : 2;
            after(
                    ORDER_NANOS,
                    () -> event(new WeightEvent.LatestVersionRead(new WeightVersion(version))));
        } else if (action instanceof WeightAction.RoleAction role) {
            carryOut(role.action());
        }
    }

    private void carryOut(IntentAction<LoadCommand> action) {
        if (action instanceof IntentAction.ReadJournal<LoadCommand> read) {
            role(WRITE_NANOS, new IntentEvent.JournalRead<>(read.fencing(), Journal.absent()));
        } else if (action instanceof IntentAction.WriteJournal<LoadCommand> write) {
            mJournalWrites++;
            mMostOpen = Math.max(mMostOpen, write.openIntents().size());
            role(WRITE_NANOS, new IntentEvent.Committed<>(write.writer(), ++mJournalVersion));
        } else if (action instanceof IntentAction.SendCommand<LoadCommand> sent) {
            UpstreamId id = sent.intent().command().upstream();
            Objects.requireNonNull(mEngines.get(id)).load(sent);
        }
    }

    private record Task(long at, long order, Runnable run) {}

    private final class Engine {
        private final UpstreamId mId;
        private long mVersion = 1;
        private boolean mCounted;

        private Engine(UpstreamId id) {
            mId = id;
        }

        private void report() {
            if (mVersion == 2 && !mCounted) {
                mCounted = true;
                mCurrent++;
            }
            event(new WeightEvent.VersionReported(mId, new WeightVersion(mVersion), "start"));
            after(SECOND, this::report);
        }

        private void load(IntentAction.SendCommand<LoadCommand> sent) {
            mLoadStarts.add(mNow);
            mLoading++;
            mMostLoading = Math.max(mMostLoading, mLoading);
            boolean fails = mRandom.nextDouble() < FAILING_SHARE;
            // Load times spread by a quarter around their mean.
            long takes = (long) (mMeanLoadNanos * (0.75 + mRandom.nextDouble() / 2));
            after(
                    ORDER_NANOS + takes,
                    () -> {
                        mLoading--;
                        mFailedLoads += fails ? 1 : 0;
                        mVersion = fails ? mVersion : sent.intent().command().version().number();
                        role(
                                ORDER_NANOS,
                                new IntentEvent.AttemptEnded<>(
                                        sent.fencing(),
                                        sent.intent().id(),
                                        sent.attempt(),
                                        fails ? CommandResult.FAILED : CommandResult.DONE));
                    });
        }
    }
}
