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

/** Simulates two instances, a store, engines and a trainer with one clock and one random seed. */
final class RolloutSimulation {
    static final TrainerName TRAINER = new TrainerName("alba");
    static final int MAX_STALENESS = 1;
    private static final long MILLI_NANOS = 1_000_000;

    final FakeStore store = new FakeStore();
    final Map<RolloutCounter, Integer> counters = new HashMap<>();
    final TreeMap<Long, SampleId> received = new TreeMap<>();
    final StragglerPolicy policy;
    int responseLossPercent;
    boolean outage;
    int actionCount;
    int crashAtAction = -1;
    boolean crashBeforeAction;
    int maxHeld;
    private final SplittableRandom random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private final Map<String, List<TokenRange>> expectedRanges = new HashMap<>();
    private final List<Submission> pendingSubmissions = new ArrayList<>();
    private long now;
    private long sequence;
    private long version = 1;
    private long cursor;
    private long requests;
    private Instance holder;

    RolloutSimulation(long seed, StragglerPolicy policy) {
        this.random = new SplittableRandom(seed);
        this.policy = policy;
        this.holder = new Instance();
        holder.acquireLease();
    }

    /** Submits a step and retries until it is accepted. */
    void submit(Submission submission) {
        pendingSubmissions.add(submission);
        trySubmit(submission);
    }

    void publishNewWeights() {
        version++;
        holder.observeVersion();
    }

    /** Crashes the lease holder with all its state; another instance takes the lease. */
    void crashHolder() {
        holder.alive = false;
        holder = new Instance();
        holder.acquireLease();
        schedule(50 * MILLI_NANOS, this::poll);
    }

    /** Moves the lease from a running holder to another instance. */
    void moveLease() {
        Instance earlier = holder;
        schedule(
                random.nextLong(200) * MILLI_NANOS,
                () -> earlier.handle(new RolloutEvent.LeaseLost(TRAINER)));
        holder = new Instance();
        holder.acquireLease();
    }

    /** Lets the holder's lease expire and be renewed before another instance takes it. */
    void loseAndRegainLease() {
        holder.handle(new RolloutEvent.LeaseLost(TRAINER));
        holder.handle(new RolloutEvent.LeaseAcquired(TRAINER, holder.guard));
        holder.observeVersion();
    }

    /** Advances the clock until the trainer has the given number of samples or the time is over. */
    void runUntil(int samples, long seconds) {
        long end = now + seconds * 1_000 * MILLI_NANOS;
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
            maxHeld = Math.max(maxHeld, holder.duty.heldSampleCount());
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
                MAX_STALENESS,
                60_000 * MILLI_NANOS,
                new TeamName("team"),
                new RouteName("rollouts"),
                specs,
                "groups/" + step + "-" + groups + "-" + samples);
    }

    private void trySubmit(Submission submission) {
        if (pendingSubmissions.contains(submission)) {
            holder.handle(new RolloutEvent.GroupsSubmitted(submission.step(), submission));
            schedule(2_000 * MILLI_NANOS, () -> trySubmit(submission));
        }
    }

    private void poll() {
        requests++;
        holder.handle(
                new RolloutEvent.SamplesRequested(
                        TRAINER, 1_000_000 + requests, cursor, 16, 500 * MILLI_NANOS));
    }

    private void schedule(long delay, Runnable work) {
        sequence++;
        tasks.add(new Task(now + delay, sequence, work));
    }

    private void receive(RolloutAction.Deliver delivery, Instance from) {
        long position = delivery.firstPosition();
        for (BatchEntry entry : delivery.entries()) {
            JudgedSample body = store.body(entry.object()).get(entry.slot());
            assertThat(body.id(), equalTo(entry.id()));
            assertThat(body.sample().ranges(), equalTo(expectedRanges.get(body.sample().text())));
            assertThat(
                    body.sample().oldest().number(),
                    greaterThanOrEqualTo(from.knownVersion - MAX_STALENESS));
            SampleId earlier = received.putIfAbsent(position, entry.id());
            assertThat(earlier == null || earlier.equals(entry.id()), is(true));
            position++;
        }
        cursor = Math.max(cursor, position);
        if (random.nextInt(3) == 0) {
            long acknowledged = cursor;
            schedule(
                    MILLI_NANOS,
                    () ->
                            holder.handle(
                                    new RolloutEvent.CursorAcknowledged(TRAINER, 0, acknowledged)));
        }
    }

    private GeneratedSample generate(RolloutAction.Generate action, long started) {
        String text = action.sample() + "#" + sequence + "." + expectedRanges.size();
        int middle = 1 + random.nextInt(20);
        UpstreamId engine = new UpstreamId("engine-1");
        List<TokenRange> ranges =
                started == version
                        ? List.of(new TokenRange(0, 30, new WeightVersion(version), engine))
                        : List.of(
                                new TokenRange(0, middle, new WeightVersion(started), engine),
                                new TokenRange(middle, 30, new WeightVersion(version), engine));
        expectedRanges.put(text, ranges);
        return new GeneratedSample(text, ranges, 0, 1);
    }

    private record Task(long at, long sequence, Runnable work) {}

    /** One instance. After a crash it handles no events and executes no actions. */
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
        private long knownVersion;
        private boolean alive = true;

        void acquireLease() {
            guard = store.takeLease();
            handle(new RolloutEvent.LeaseAcquired(TRAINER, guard));
            observeVersion();
        }

        void observeVersion() {
            knownVersion = version;
            handle(new RolloutEvent.VersionObserved(TRAINER, new WeightVersion(version)));
        }

        void handle(RolloutEvent event) {
            if (alive) {
                duty.onEvent(event, now, this::execute);
            }
        }

        private void respond(RolloutEvent event, int repeats) {
            for (int i = 0; i < repeats; i++) {
                schedule(random.nextLong(1, 40) * MILLI_NANOS, () -> handle(event));
            }
        }

        private void execute(RolloutAction action) {
            actionCount++;
            if (actionCount == crashAtAction) {
                schedule(0, RolloutSimulation.this::crashHolder);
                alive = !crashBeforeAction;
            }
            if (!alive) {
                return;
            }
            if (action instanceof RolloutAction.Restore restore) {
                schedule(
                        restore.delayNanos() + 5 * MILLI_NANOS,
                        () -> {
                            handle(
                                    new RolloutEvent.TrainerRestored(
                                            TRAINER,
                                            restore.term(),
                                            store.read(restore.atLeastVersion(), random)));
                            observeVersion();
                        });
            } else if (action instanceof RolloutAction.Generate generate) {
                long started = version;
                schedule(
                        random.nextLong(10, 400) * (random.nextInt(25) == 0 ? 20 : 1) * MILLI_NANOS,
                        () -> respond(result(generate, started), 1 + random.nextInt(10) / 9));
            } else if (action instanceof RolloutAction.Judge judge) {
                RolloutEvent event =
                        random.nextInt(20) == 0
                                ? new RolloutEvent.SampleFailed(
                                        TRAINER, judge.term(), judge.attempt())
                                : new RolloutEvent.SampleJudged(
                                        TRAINER, judge.term(), judge.attempt(), 0.5);
                respond(event, 1 + random.nextInt(10) / 9);
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
                schedule(random.nextLong(30) * MILLI_NANOS, () -> storeBody(body));
            } else if (action instanceof RolloutAction.CommitBatch batch) {
                schedule(
                        random.nextLong(30) * MILLI_NANOS,
                        () -> commit(action, batch.term(), batch.commit().writer()));
            } else if (action instanceof RolloutAction.CommitCursor cursorOnly) {
                schedule(
                        random.nextLong(30) * MILLI_NANOS,
                        () -> commit(action, cursorOnly.term(), cursorOnly.commit().writer()));
            } else if (action instanceof RolloutAction.Deliver delivery) {
                if (random.nextInt(100) >= responseLossPercent) {
                    receive(delivery, this);
                }
                schedule(MILLI_NANOS, RolloutSimulation.this::poll);
            } else if (action instanceof RolloutAction.Accept accept) {
                pendingSubmissions.removeIf(submission -> submission.step() == accept.request());
            } else if (action instanceof RolloutAction.Refuse refuse) {
                if (refuse.request() > 1_000_000) {
                    schedule(50 * MILLI_NANOS, RolloutSimulation.this::poll);
                }
            } else if (action instanceof RolloutAction.Count count) {
                counters.merge(count.counter(), count.amount(), Integer::sum);
            }
        }

        private void storeBody(RolloutAction.StoreBody body) {
            boolean lost = random.nextInt(100) < responseLossPercent;
            if (!outage) {
                store.put(body.object(), body.samples());
            }
            respond(
                    outage || lost
                            ? new RolloutEvent.StoreFailed(TRAINER, body.term(), body.object())
                            : new RolloutEvent.BatchStored(TRAINER, body.term(), body.object()),
                    1);
        }

        private void commit(RolloutAction action, long term, String writer) {
            boolean lost = outage || random.nextInt(100) < responseLossPercent;
            RolloutEvent unknown = new RolloutEvent.CommitOutcomeUnknown(TRAINER, term, writer);
            RolloutEvent result = outage ? unknown : store.commit(action, guard);
            respond(lost ? unknown : result, 1);
        }
    }
}
