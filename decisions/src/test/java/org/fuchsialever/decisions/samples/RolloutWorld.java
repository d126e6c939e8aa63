package org.fuchsialever.decisions.samples;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/** Two instances, a store, engines and a trainer under one clock and one seed. */
final class RolloutWorld {
    static final TrainerName TRAINER = new TrainerName("alba");
    static final int BOUND = 1;
    private static final long MILLI = 1_000_000;

    final FakeStore store = new FakeStore();
    final Map<RolloutCounter, Integer> counters = new HashMap<>();
    final TreeMap<Long, SampleId> received = new TreeMap<>();
    final StragglerPolicy policy;
    int lostAnswers;
    boolean outage;
    int actions;
    int dieAtAction = -1;
    boolean dieBefore;
    int mostHeld;
    private final SplittableRandom random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private final Map<String, List<TokenRange>> truth = new HashMap<>();
    private final List<Submission> unanswered = new ArrayList<>();
    private long now;
    private long sequence;
    private long version = 1;
    private long cursor;
    private long requests;
    private Instance holder;

    RolloutWorld(long seed, StragglerPolicy policy) {
        this.random = new SplittableRandom(seed);
        this.policy = policy;
        this.holder = new Instance();
        holder.gain();
    }

    /** Submits a step and goes on until it was accepted. */
    void submit(Submission submission) {
        unanswered.add(submission);
        trySubmit(submission);
    }

    void newWeights() {
        version++;
        holder.learn();
    }

    /** Ends the holder with everything that it knows; another instance takes the lease. */
    void killHolder() {
        holder.alive = false;
        holder = new Instance();
        holder.gain();
        later(50 * MILLI, this::poll);
    }

    /** Takes the lease from a living holder and gives it to another instance. */
    void moveLease() {
        Instance earlier = holder;
        later(
                random.nextLong(200) * MILLI,
                () -> earlier.handle(new RolloutEvent.LeaseLost(TRAINER)));
        holder = new Instance();
        holder.gain();
    }

    /**
     * The holder's lease expires in an outage and is renewed afterwards, before anybody takes it.
     */
    void loseAndRegainLease() {
        holder.handle(new RolloutEvent.LeaseLost(TRAINER));
        holder.handle(new RolloutEvent.LeaseAcquired(TRAINER, holder.guard));
        holder.learn();
    }

    /** Lets time pass until the trainer has a number of samples or the time is over. */
    void runUntil(int samples, long seconds) {
        long end = now + seconds * 1_000 * MILLI;
        poll();
        while (received.size() < samples && now < end) {
            long timer = holder.alive ? holder.duty.nextTimerNanos() : Duty.NO_TIMER;
            Task task = tasks.peek();
            long next = Math.min(timer, task == null ? Duty.NO_TIMER : task.at);
            if (next == Duty.NO_TIMER || next > end) {
                now = end;
            } else if (task != null && task.at <= timer) {
                tasks.remove();
                now = Math.max(now, task.at);
                task.work.run();
            } else {
                now = Math.max(now, timer);
                holder.duty.onTimer(now, holder::execute);
            }
            mostHeld = Math.max(mostHeld, holder.duty.heldSampleCount());
        }
    }

    void assertEverySampleExactlyOnce(List<Submission> submissions) {
        List<SampleId> expected = new ArrayList<>();
        for (Submission submission : submissions) {
            for (GroupSpec group : submission.groups()) {
                for (int index = 0; index < group.samples(); index++) {
                    expected.add(new SampleId(TRAINER, submission.step(), group.group(), index));
                }
            }
        }
        Comparator<SampleId> order = Comparator.comparing(SampleId::toString);
        assertThat(
                received.values().stream().sorted(order).toList(),
                equalTo(expected.stream().sorted(order).toList()));
        assertThat(received.lastKey(), is((long) expected.size() - 1));
    }

    static Submission submission(long step, int groups, int samples) {
        List<GroupSpec> specs = new ArrayList<>();
        for (int group = 0; group < groups; group++) {
            specs.add(new GroupSpec("g" + group, "prompt " + group, samples, 100));
        }
        return new Submission(
                TRAINER,
                step,
                "small",
                BOUND,
                60_000 * MILLI,
                new TeamName("team"),
                new RouteName("rollouts"),
                specs,
                "groups/" + step + "-" + groups + "-" + samples);
    }

    private void trySubmit(Submission submission) {
        if (unanswered.contains(submission)) {
            holder.handle(new RolloutEvent.GroupsSubmitted(submission.step(), submission));
            later(2_000 * MILLI, () -> trySubmit(submission));
        }
    }

    private void poll() {
        requests++;
        holder.handle(
                new RolloutEvent.SamplesRequested(
                        TRAINER, 1_000_000 + requests, cursor, 16, 500 * MILLI));
    }

    private void later(long delay, Runnable work) {
        sequence++;
        tasks.add(new Task(now + delay, sequence, work));
    }

    private void receive(RolloutAction.Deliver delivery, Instance from) {
        long position = delivery.firstPosition();
        for (BatchEntry entry : delivery.entries()) {
            JudgedSample body = store.body(entry.object()).get(entry.slot());
            assertThat(body.id(), equalTo(entry.id()));
            assertThat(body.sample().ranges(), equalTo(truth.get(body.sample().text())));
            assertThat(body.sample().oldest().number(), greaterThanOrEqualTo(from.known - BOUND));
            SampleId earlier = received.putIfAbsent(position, entry.id());
            assertThat(earlier == null || earlier.equals(entry.id()), is(true));
            position++;
        }
        cursor = Math.max(cursor, position);
        if (random.nextInt(3) == 0) {
            long acknowledged = cursor;
            later(
                    MILLI,
                    () ->
                            holder.handle(
                                    new RolloutEvent.CursorAcknowledged(TRAINER, 0, acknowledged)));
        }
    }

    private GeneratedSample generate(RolloutAction.Generate action, long started) {
        String text = action.sample() + "#" + sequence + "." + truth.size();
        int middle = 1 + random.nextInt(20);
        UpstreamId engine = new UpstreamId("engine-1");
        List<TokenRange> ranges =
                started == version
                        ? List.of(new TokenRange(0, 30, new WeightVersion(version), engine))
                        : List.of(
                                new TokenRange(0, middle, new WeightVersion(started), engine),
                                new TokenRange(middle, 30, new WeightVersion(version), engine));
        truth.put(text, ranges);
        return new GeneratedSample(text, ranges, 0, 1);
    }

    private record Task(long at, long sequence, Runnable work) {}

    /** One instance; its answers are lost when it is dead. */
    private final class Instance {
        private final RolloutDuty duty =
                new RolloutDuty(
                        new RolloutSetup(
                                "i" + random.nextInt(1_000_000),
                                new RolloutLimits(
                                        12,
                                        1_000,
                                        4,
                                        java.time.Duration.ofMillis(100),
                                        java.time.Duration.ofMillis(50),
                                        java.time.Duration.ofSeconds(1),
                                        8),
                                policy,
                                new LengthPredictor(),
                                random.split(),
                                InvariantMonitor.throwing()));
        private long guard;
        private long known;
        private boolean alive = true;

        void gain() {
            guard = store.takeLease();
            handle(new RolloutEvent.LeaseAcquired(TRAINER, guard));
            learn();
        }

        void learn() {
            known = version;
            handle(new RolloutEvent.VersionObserved(TRAINER, new WeightVersion(version)));
        }

        void handle(RolloutEvent event) {
            if (alive) {
                duty.onEvent(event, now, this::execute);
            }
        }

        private void answer(RolloutEvent event, int repeats) {
            for (int i = 0; i < repeats; i++) {
                later(random.nextLong(1, 40) * MILLI, () -> handle(event));
            }
        }

        private void execute(RolloutAction action) {
            actions++;
            if (actions == dieAtAction) {
                later(0, RolloutWorld.this::killHolder);
                alive = !dieBefore;
            }
            if (!alive) {
                return;
            }
            if (action instanceof RolloutAction.Restore restore) {
                later(
                        restore.delayNanos() + 5 * MILLI,
                        () -> {
                            handle(
                                    new RolloutEvent.TrainerRestored(
                                            TRAINER,
                                            restore.term(),
                                            store.read(restore.atLeastVersion(), random)));
                            learn();
                        });
            } else if (action instanceof RolloutAction.Generate generate) {
                long started = version;
                later(
                        random.nextLong(10, 400) * (random.nextInt(25) == 0 ? 20 : 1) * MILLI,
                        () -> answer(result(generate, started), 1 + random.nextInt(10) / 9));
            } else if (action instanceof RolloutAction.Judge judge) {
                RolloutEvent event =
                        random.nextInt(20) == 0
                                ? new RolloutEvent.SampleFailed(
                                        TRAINER, judge.term(), judge.attempt())
                                : new RolloutEvent.SampleJudged(
                                        TRAINER, judge.term(), judge.attempt(), 0.5);
                answer(event, 1 + random.nextInt(10) / 9);
            } else {
                executeStorage(action);
            }
        }

        private RolloutEvent result(RolloutAction.Generate action, long started) {
            return random.nextInt(20) == 0
                    ? new RolloutEvent.SampleFailed(TRAINER, action.term(), action.attempt())
                    : new RolloutEvent.SampleGenerated(
                            TRAINER, action.term(), action.attempt(), generate(action, started));
        }

        private void executeStorage(RolloutAction action) {
            if (action instanceof RolloutAction.StoreBody body) {
                later(random.nextLong(30) * MILLI, () -> storeBody(body));
            } else if (action instanceof RolloutAction.CommitBatch batch) {
                later(
                        random.nextLong(30) * MILLI,
                        () -> commit(action, batch.term(), batch.commit().writer()));
            } else if (action instanceof RolloutAction.CommitCursor cursorOnly) {
                later(
                        random.nextLong(30) * MILLI,
                        () -> commit(action, cursorOnly.term(), cursorOnly.commit().writer()));
            } else if (action instanceof RolloutAction.Deliver delivery) {
                if (random.nextInt(100) >= lostAnswers) {
                    receive(delivery, this);
                }
                later(MILLI, RolloutWorld.this::poll);
            } else if (action instanceof RolloutAction.Accept accept) {
                unanswered.removeIf(submission -> submission.step() == accept.request());
            } else if (action instanceof RolloutAction.Refuse refuse) {
                if (refuse.request() > 1_000_000) {
                    later(50 * MILLI, RolloutWorld.this::poll);
                }
            } else if (action instanceof RolloutAction.Count count) {
                counters.merge(count.counter(), count.amount(), Integer::sum);
            }
        }

        private void storeBody(RolloutAction.StoreBody body) {
            boolean lost = random.nextInt(100) < lostAnswers;
            if (!outage) {
                store.put(body.object(), body.samples());
            }
            answer(
                    outage || lost
                            ? new RolloutEvent.StoreFailed(TRAINER, body.term(), body.object())
                            : new RolloutEvent.BatchStored(TRAINER, body.term(), body.object()),
                    1);
        }

        private void commit(RolloutAction action, long term, String writer) {
            boolean lost = outage || random.nextInt(100) < lostAnswers;
            RolloutEvent unknown = new RolloutEvent.CommitOutcomeUnknown(TRAINER, term, writer);
            RolloutEvent result = outage ? unknown : store.commit(action, guard);
            answer(lost ? unknown : result, 1);
        }
    }
}
