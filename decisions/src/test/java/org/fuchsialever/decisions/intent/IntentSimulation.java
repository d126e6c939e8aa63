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

    final List<Effect> effects = new ArrayList<>();
    final List<Holder> holders = new ArrayList<>();
    final SplittableRandom random;
    Journal<TestCommand> journal = Journal.absent();
    Journal<TestCommand> staleJournal = Journal.absent();
    boolean staleReads;

    /** Probability that a request to the table or a receiver is lost; the same for a response. */
    double lossProbability;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final Map<String, Long> highestFencing = new HashMap<>();
    private long now;
    private long order;
    private long guard;
    private long leaseUntil;
    private int leaseHolder = -1;

    IntentSimulation(long seed) {
        random = new SplittableRandom(seed);
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
        return now;
    }

    Holder leaseHolder() {
        return holders.get(leaseHolder);
    }

    void after(long nanos, Runnable run) {
        tasks.add(new Task(now + nanos, order++, run));
    }

    void runFor(long nanos) {
        long end = now + nanos;
        while (true) {
            Task task = tasks.peek();
            long timer = holders.stream().mapToLong(Holder::nextTimer).min().orElse(Long.MAX_VALUE);
            long next = Math.min(timer, task == null ? Long.MAX_VALUE : task.at);
            if (next > end) {
                break;
            }
            now = Math.max(now, next);
            if (task != null && task.at <= now) {
                tasks.remove().run.run();
            } else {
                holders.forEach(Holder::runTimer);
            }
        }
        now = end;
    }

    Holder addHolder() {
        Holder holder = new Holder(holders.size());
        holders.add(holder);
        return holder;
    }

    /** Renews the lease of a running holder, and gives an expired lease to another holder. */
    void keepLease() {
        boolean holds = leaseHolder >= 0 && now < leaseUntil;
        if (holds && holders.get(leaseHolder).isRunning()) {
            leaseUntil = now + LEASE_NANOS;
        } else if (!holds) {
            List<Holder> able = holders.stream().filter(Holder::isRunning).toList();
            if (!able.isEmpty()) {
                Holder next = able.get(random.nextInt(able.size()));
                // Every other loss is not reported; the holder must learn it from the journal.
                if (leaseHolder >= 0 && guard % 2 == 1) {
                    leaseHolder().deliver(new IntentEvent.LeaseLost<>());
                }
                leaseHolder = next.number;
                leaseUntil = now + LEASE_NANOS;
                guard++;
                next.gain(guard);
            }
        }
        after(SECOND, this::keepLease);
    }

    private boolean loses() {
        return random.nextDouble() < lossProbability;
    }

    /** An instance with its intent machine. */
    final class Holder {
        final int number;
        final IntentMachine<TestCommand> machine;
        final List<Intent<TestCommand>> completed = new ArrayList<>();
        Option<Step> pauseAt = Option.none();
        long pauseNanos;
        private long pausedUntil;
        private long fencing;

        Holder(int number) {
            this.number = number;
            this.machine =
                    new IntentMachine<>(
                            "orders/p",
                            IntentTiming.standard(Duration.ofNanos(RECEIVER_TIMEOUT_NANOS)),
                            new SplittableRandom(number),
                            InvariantMonitor.throwing());
        }

        boolean isRunning() {
            return now >= pausedUntil;
        }

        void pause(long nanos) {
            pausedUntil = Math.max(pausedUntil, now + nanos);
        }

        void propose(TestCommand command) {
            machine.propose(command, now, this::perform);
        }

        private boolean mayAct(long under) {
            return leaseHolder == number && guard == under && now < leaseUntil;
        }

        private long nextTimer() {
            long timer = machine.nextTimerNanos();
            return timer == Long.MAX_VALUE ? timer : Math.max(timer, pausedUntil);
        }

        private void runTimer() {
            if (isRunning() && machine.nextTimerNanos() <= now) {
                machine.onTimer(now, this::perform);
            }
        }

        private void gain(long newFencing) {
            fencing = newFencing;
            deliver(new IntentEvent.LeaseAcquired<>(newFencing));
        }

        /** Runs a step of this holder, after the pause that is configured for it, if any. */
        private void step(Step step, Runnable run) {
            if (pauseAt.contains(step)) {
                pauseAt = Option.none();
                pause(pauseNanos);
            }
            whenRunning(run);
        }

        private void whenRunning(Runnable run) {
            if (isRunning()) {
                run.run();
            } else {
                after(pausedUntil - now, () -> whenRunning(run));
            }
        }

        private void deliver(IntentEvent<TestCommand> event) {
            whenRunning(() -> machine.onEvent(event, now, this::perform));
        }

        private void perform(IntentAction<TestCommand> action) {
            if (action instanceof IntentAction.ReadJournal<TestCommand> read) {
                Journal<TestCommand> seen = staleReads ? staleJournal : journal;
                after(
                        HOP_NANOS,
                        () -> deliver(new IntentEvent.JournalRead<>(read.fencing(), seen)));
            } else if (action instanceof IntentAction.WriteJournal<TestCommand> write) {
                step(Step.WRITE_JOURNAL, () -> after(HOP_NANOS, () -> commit(write)));
            } else if (action instanceof IntentAction.SendCommand<TestCommand> order) {
                step(Step.CONNECT, () -> after(HOP_NANOS, () -> connected(order, now)));
            } else if (action instanceof IntentAction.Completed<TestCommand> done) {
                completed.add(done.intent());
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
            if (guard != write.fencing()) {
                return new IntentEvent.Conflicted<>(write.writer(), Option.none());
            }
            if (journal.version() != write.expectedVersion()) {
                return new IntentEvent.Conflicted<>(write.writer(), Option.some(journal));
            }
            staleJournal = journal;
            journal = new Journal<>(journal.version() + 1, write.writer(), write.openIntents());
            return new IntentEvent.Committed<>(write.writer(), journal.version());
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
            if (now - acceptedAt <= RECEIVER_TIMEOUT_NANOS && !loses()) {
                result = receive(order);
                result = loses() ? CommandResult.UNKNOWN : result;
            }
            CommandResult reported = result;
            after(HOP_NANOS, () -> step(Step.READ_COMMAND_RESULT, () -> report(order, reported)));
        }

        private CommandResult receive(IntentAction.SendCommand<TestCommand> order) {
            TestCommand command = order.intent().command();
            long highest = highestFencing.merge(command.receiver(), order.fencing(), Math::max);
            if (command.fencingEnforced() && order.fencing() < highest) {
                return CommandResult.STALE_FENCING;
            }
            effects.add(new Effect(now, number, order.fencing(), order.intent()));
            return CommandResult.DONE;
        }

        private void report(IntentAction.SendCommand<TestCommand> order, CommandResult result) {
            deliver(
                    new IntentEvent.AttemptEnded<>(
                            order.fencing(), order.intent().id(), order.attempt(), result));
        }
    }
}
