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
 * Holders of one role, its journal, and receivers that drop a connection after their request
 * timeout. A pause stops a holder at a step; whatever it had begun goes on when it resumes.
 */
final class IntentWorld {
    static final long SECOND = 1_000_000_000L;
    static final long RECEIVER_TIMEOUT = 10 * SECOND;
    private static final long LEASE = 5 * SECOND;
    private static final long HOP = 5_000_000L;

    final List<Effect> effects = new ArrayList<>();
    final List<Holder> holders = new ArrayList<>();
    final SplittableRandom random;
    Journal<TestCommand> journal = Journal.absent();
    Journal<TestCommand> staleJournal = Journal.absent();
    boolean staleReads;

    /** Chance that a request to the table or a receiver is lost, and that an answer is. */
    double loss;

    private final PriorityQueue<Task> agenda =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final Map<String, Long> highestFencing = new HashMap<>();
    private long now;
    private long order;
    private long guard;
    private long leaseUntil;
    private int leaseHolder = -1;

    IntentWorld(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Where a holder can be paused. */
    enum Step {
        WRITE_JOURNAL,
        READ_WRITE_ANSWER,
        CONNECT,
        CHECK_LEASE,
        WRITE_ORDER,
        READ_ORDER_ANSWER
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
        agenda.add(new Task(now + nanos, order++, run));
    }

    void runFor(long nanos) {
        long end = now + nanos;
        while (true) {
            Task task = agenda.peek();
            long timer = holders.stream().mapToLong(Holder::nextTimer).min().orElse(Long.MAX_VALUE);
            long next = Math.min(timer, task == null ? Long.MAX_VALUE : task.at);
            if (next > end) {
                break;
            }
            now = Math.max(now, next);
            if (task != null && task.at <= now) {
                agenda.remove().run.run();
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

    /** Renews the lease of a holder that runs and moves it once it has expired. */
    void keepLease() {
        boolean holds = leaseHolder >= 0 && now < leaseUntil;
        if (holds && holders.get(leaseHolder).runs()) {
            leaseUntil = now + LEASE;
        } else if (!holds) {
            List<Holder> able = holders.stream().filter(Holder::runs).toList();
            if (!able.isEmpty()) {
                Holder next = able.get(random.nextInt(able.size()));
                // Every other loss is not reported in time; the journal has to tell.
                if (leaseHolder >= 0 && guard % 2 == 1) {
                    leaseHolder().deliver(new IntentEvent.LeaseLost<>());
                }
                leaseHolder = next.number;
                leaseUntil = now + LEASE;
                guard++;
                next.gain(guard);
            }
        }
        after(SECOND, this::keepLease);
    }

    private boolean lost() {
        return random.nextDouble() < loss;
    }

    /** One instance with its machine. */
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
                            IntentTiming.standard(Duration.ofNanos(RECEIVER_TIMEOUT)),
                            new SplittableRandom(number),
                            InvariantMonitor.throwing());
        }

        boolean runs() {
            return now >= pausedUntil;
        }

        void pause(long nanos) {
            pausedUntil = Math.max(pausedUntil, now + nanos);
        }

        void propose(TestCommand command) {
            machine.propose(command, now, this::carryOut);
        }

        private boolean mayAct(long under) {
            return leaseHolder == number && guard == under && now < leaseUntil;
        }

        private long nextTimer() {
            long timer = machine.nextTimerNanos();
            return timer == Long.MAX_VALUE ? timer : Math.max(timer, pausedUntil);
        }

        private void runTimer() {
            if (runs() && machine.nextTimerNanos() <= now) {
                machine.onTimer(now, this::carryOut);
            }
        }

        private void gain(long newFencing) {
            fencing = newFencing;
            deliver(new IntentEvent.LeaseAcquired<>(newFencing));
        }

        /** Runs a step of this holder once it is not paused, after a pause that is set for it. */
        private void step(Step step, Runnable run) {
            if (pauseAt.contains(step)) {
                pauseAt = Option.none();
                pause(pauseNanos);
            }
            whenRunning(run);
        }

        private void whenRunning(Runnable run) {
            if (runs()) {
                run.run();
            } else {
                after(pausedUntil - now, () -> whenRunning(run));
            }
        }

        private void deliver(IntentEvent<TestCommand> event) {
            whenRunning(() -> machine.onEvent(event, now, this::carryOut));
        }

        private void carryOut(IntentAction<TestCommand> action) {
            if (action instanceof IntentAction.ReadJournal<TestCommand> read) {
                Journal<TestCommand> seen = staleReads ? staleJournal : journal;
                after(HOP, () -> deliver(new IntentEvent.JournalRead<>(read.fencing(), seen)));
            } else if (action instanceof IntentAction.WriteJournal<TestCommand> write) {
                step(Step.WRITE_JOURNAL, () -> after(HOP, () -> commit(write)));
            } else if (action instanceof IntentAction.SendCommand<TestCommand> order) {
                step(Step.CONNECT, () -> after(HOP, () -> connected(order, now)));
            } else if (action instanceof IntentAction.Completed<TestCommand> done) {
                completed.add(done.intent());
            }
        }

        private void commit(IntentAction.WriteJournal<TestCommand> write) {
            IntentEvent<TestCommand> answer = new IntentEvent.WriteOutcomeUnknown<>(write.writer());
            if (!lost()) {
                answer = applied(write);
                answer = lost() ? new IntentEvent.WriteOutcomeUnknown<>(write.writer()) : answer;
            }
            IntentEvent<TestCommand> result = answer;
            after(HOP, () -> step(Step.READ_WRITE_ANSWER, () -> deliver(result)));
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
                                    Step.WRITE_ORDER,
                                    () -> after(HOP, () -> arrive(order, acceptedAt)));
                        } else {
                            answer(order, CommandResult.NOT_SENT);
                        }
                    });
        }

        private void arrive(IntentAction.SendCommand<TestCommand> order, long acceptedAt) {
            CommandResult result = CommandResult.UNKNOWN;
            if (now - acceptedAt <= RECEIVER_TIMEOUT && !lost()) {
                result = receive(order);
                result = lost() ? CommandResult.UNKNOWN : result;
            }
            CommandResult answer = result;
            after(HOP, () -> step(Step.READ_ORDER_ANSWER, () -> answer(order, answer)));
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

        private void answer(IntentAction.SendCommand<TestCommand> order, CommandResult result) {
            deliver(
                    new IntentEvent.AttemptEnded<>(
                            order.fencing(), order.intent().id(), order.attempt(), result));
        }
    }
}
