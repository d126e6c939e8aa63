package org.fuchsialever.decisions.intent;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/**
 * Simulation of the holders of one role, its journal, and receivers that drop a connection after
 * their request timeout. A pause stops a holder at a step; the step continues when it resumes.
 */
final class IntentSimulation {
    static final long SECOND = 1_000_000_000L;
    static final long RECEIVER_TIMEOUT_NANOS = 10 * SECOND;
    private static final long LEASE_NANOS = 5 * SECOND;
    private static final long HOP_NANOS = 5_000_000L;

    final List<Effect> mEffects = new ArrayList<>();
    final List<Holder> mHolders = new ArrayList<>();
    final SplittableRandom mRandom;
    Journal<TestCommand> mJournal = Journal.absent();
    Journal<TestCommand> mStaleJournal = Journal.absent();
    boolean mStaleReads;

    /** Probability that a request to the table or a receiver is lost; the same for a response. */
    double mLossProbability;

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final Map<String, Long> mHighestFencing = new HashMap<>();
    private long mNow;
    private long mOrder;
    private long mGuard;
    private long mLeaseUntil;
    private int mLeaseHolder = -1;

    IntentSimulation(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /** Step at which a holder can be paused. */
    enum Step {
        WRITE_JOURNAL,
        READ_WRITE_RESULT,
        CONNECT,
        CHECK_LEASE,
        SEND_COMMAND,
        READ_COMMAND_RESULT
    }

    record TestCommand(String target, String receiver, int value, boolean fencingEnforced)
            implements IntentCommand {}

    record Effect(long at, int holder, long fencing, Intent<TestCommand> intent) {}

    private record Task(long at, long order, Runnable run) {}

    long now() {
        return mNow;
    }

    Holder leaseHolder() {
        return mHolders.get(mLeaseHolder);
    }

    void after(long nanos, Runnable run) {
        mTasks.add(new Task(mNow + nanos, mOrder++, run));
    }

    void runFor(long nanos) {
        long end = mNow + nanos;
        while (true) {
            Task task = mTasks.peek();
            long timer =
                    mHolders.stream().mapToLong(Holder::nextTimer).min().orElse(Long.MAX_VALUE);
            long next = Math.min(timer, task == null ? Long.MAX_VALUE : task.at);
            if (next > end) {
                break;
            }
            mNow = Math.max(mNow, next);
            if (task != null && task.at <= mNow) {
                mTasks.remove().run.run();
            } else {
                mHolders.forEach(Holder::runTimer);
            }
        }
        mNow = end;
    }

    Holder addHolder() {
        Holder holder = new Holder(mHolders.size());
        mHolders.add(holder);
        return holder;
    }

    /** Renews the lease of a running holder, and gives an expired lease to another holder. */
    void keepLease() {
        boolean holds = mLeaseHolder >= 0 && mNow < mLeaseUntil;
        if (holds && mHolders.get(mLeaseHolder).isRunning()) {
            mLeaseUntil = mNow + LEASE_NANOS;
        } else if (!holds) {
            List<Holder> able = mHolders.stream().filter(Holder::isRunning).toList();
            if (!able.isEmpty()) {
                Holder next = able.get(mRandom.nextInt(able.size()));
                // Every other loss is not reported; the holder must learn it from the journal.
                if (mLeaseHolder >= 0 && mGuard % 2 == 1) {
                    leaseHolder().deliver(new IntentEvent.LeaseLost<>());
                }
                mLeaseHolder = next.mNumber;
                mLeaseUntil = mNow + LEASE_NANOS;
                mGuard++;
                next.gain(mGuard);
            }
        }
        after(SECOND, this::keepLease);
    }

    private boolean loses() {
        return mRandom.nextDouble() < mLossProbability;
    }

    /** An instance with its intent machine. */
    final class Holder {
        final int mNumber;
        final IntentMachine<TestCommand> mMachine;
        final List<Intent<TestCommand>> mCompleted = new ArrayList<>();
        Option<Step> mPauseAt = Option.none();
        long mPauseNanos;
        private long mPausedUntil;
        private long mFencing;

        Holder(int number) {
            mNumber = number;
            mMachine =
                    new IntentMachine<>(
                            "orders/p",
                            IntentTiming.standard(Duration.ofNanos(RECEIVER_TIMEOUT_NANOS)),
                            new SplittableRandom(number),
                            InvariantMonitor.throwing());
        }

        boolean isRunning() {
            return mNow >= mPausedUntil;
        }

        void pause(long nanos) {
            mPausedUntil = Math.max(mPausedUntil, mNow + nanos);
        }

        void propose(TestCommand command) {
            mMachine.propose(command, mNow, this::perform);
        }

        private boolean mayAct(long under) {
            return mLeaseHolder == mNumber && mGuard == under && mNow < mLeaseUntil;
        }

        private long nextTimer() {
            long timer = mMachine.nextTimerNanos();
            return timer == Long.MAX_VALUE ? timer : Math.max(timer, mPausedUntil);
        }

        private void runTimer() {
            if (isRunning() && mMachine.nextTimerNanos() <= mNow) {
                mMachine.onTimer(mNow, this::perform);
            }
        }

        private void gain(long newFencing) {
            mFencing = newFencing;
            deliver(new IntentEvent.LeaseAcquired<>(newFencing));
        }

        /** Runs a step of this holder, after the pause that is configured for it, if any. */
        private void step(Step step, Runnable run) {
            if (mPauseAt.contains(step)) {
                mPauseAt = Option.none();
                pause(mPauseNanos);
            }
            whenRunning(run);
        }

        private void whenRunning(Runnable run) {
            if (isRunning()) {
                run.run();
            } else {
                after(mPausedUntil - mNow, () -> whenRunning(run));
            }
        }

        private void deliver(IntentEvent<TestCommand> event) {
            whenRunning(() -> mMachine.onEvent(event, mNow, this::perform));
        }

        private void perform(IntentAction<TestCommand> action) {
            if (action instanceof IntentAction.ReadJournal<TestCommand> read) {
                Journal<TestCommand> seen = mStaleReads ? mStaleJournal : mJournal;
                after(
                        HOP_NANOS,
                        () -> deliver(new IntentEvent.JournalRead<>(read.fencing(), seen)));
            } else if (action instanceof IntentAction.WriteJournal<TestCommand> write) {
                step(Step.WRITE_JOURNAL, () -> after(HOP_NANOS, () -> commit(write)));
            } else if (action instanceof IntentAction.SendCommand<TestCommand> order) {
                step(Step.CONNECT, () -> after(HOP_NANOS, () -> connected(order, mNow)));
            } else if (action instanceof IntentAction.Completed<TestCommand> done) {
                mCompleted.add(done.intent());
            }
        }

        private void commit(IntentAction.WriteJournal<TestCommand> write) {
            IntentEvent<TestCommand> result = new IntentEvent.WriteOutcomeUnknown<>(write.writer());
            if (!loses()) {
                result = applied(write);
                result = loses() ? new IntentEvent.WriteOutcomeUnknown<>(write.writer()) : result;
            }
            IntentEvent<TestCommand> delivered = result;
            after(HOP_NANOS, () -> step(Step.READ_WRITE_RESULT, () -> deliver(delivered)));
        }

        private IntentEvent<TestCommand> applied(IntentAction.WriteJournal<TestCommand> write) {
            if (mGuard != write.fencing()) {
                return new IntentEvent.Conflicted<>(write.writer(), Option.none());
            }
            if (mJournal.version() != write.expectedVersion()) {
                return new IntentEvent.Conflicted<>(write.writer(), Option.some(mJournal));
            }
            mStaleJournal = mJournal;
            mJournal = new Journal<>(mJournal.version() + 1, write.writer(), write.openIntents());
            return new IntentEvent.Committed<>(write.writer(), mJournal.version());
        }

        private void connected(IntentAction.SendCommand<TestCommand> order, long acceptedAt) {
            step(
                    Step.CHECK_LEASE,
                    () -> {
                        if (mayAct(order.fencing())) {
                            step(
                                    Step.SEND_COMMAND,
                                    () -> after(HOP_NANOS, () -> arrive(order, acceptedAt)));
                        } else {
                            report(order, CommandResult.NOT_SENT);
                        }
                    });
        }

        private void arrive(IntentAction.SendCommand<TestCommand> order, long acceptedAt) {
            CommandResult result = CommandResult.UNKNOWN;
            if (mNow - acceptedAt <= RECEIVER_TIMEOUT_NANOS && !loses()) {
                result = receive(order);
                result = loses() ? CommandResult.UNKNOWN : result;
            }
            CommandResult reported = result;
            after(HOP_NANOS, () -> step(Step.READ_COMMAND_RESULT, () -> report(order, reported)));
        }

        private CommandResult receive(IntentAction.SendCommand<TestCommand> order) {
            TestCommand command = order.intent().command();
            long highest = mHighestFencing.merge(command.receiver(), order.fencing(), Math::max);
            if (command.fencingEnforced() && order.fencing() < highest) {
                return CommandResult.STALE_FENCING;
            }
            mEffects.add(new Effect(mNow, mNumber, order.fencing(), order.intent()));
            return CommandResult.DONE;
        }

        private void report(IntentAction.SendCommand<TestCommand> order, CommandResult result) {
            deliver(
                    new IntentEvent.AttemptEnded<>(
                            order.fencing(), order.intent().id(), order.attempt(), result));
        }
    }
}
