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

    final FakeStore mStore = new FakeStore();
    final Map<RolloutCounter, Integer> mCounters = new HashMap<>();
    final TreeMap<Long, SampleId> mReceived = new TreeMap<>();
    final StragglerPolicy mPolicy;
    int mResponseLossPercent;
    boolean mOutage;
    int mActionCount;
    int mCrashAtAction = -1;
    boolean mCrashBeforeAction;
    int mMaxHeld;
    private final SplittableRandom mRandom;
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private final Map<String, List<TokenRange>> mExpectedRanges = new HashMap<>();
    private final List<Submission> mPendingSubmissions = new ArrayList<>();
    private long mNow;
    private long mSequence;
    private long mVersion = 1;
    private long mCursor;
    private long mRequests;
    private Instance mHolder;

    RolloutSimulation(long seed, StragglerPolicy policy) {
        mRandom = new SplittableRandom(seed);
        mPolicy = policy;
        mHolder = new Instance();
        mHolder.acquireLease();
    }

    /** Submits a step and retries until it is accepted. */
    void submit(Submission submission) {
        mPendingSubmissions.add(submission);
        trySubmit(submission);
    }

    void publishNewWeights() {
        mVersion++;
        mHolder.observeVersion();
    }

    /** Crashes the lease holder with all its state; another instance takes the lease. */
    void crashHolder() {
        mHolder.mAlive = false;
        mHolder = new Instance();
        mHolder.acquireLease();
        schedule(50 * MILLI_NANOS, this::poll);
    }

    /** Moves the lease from a running holder to another instance. */
    void moveLease() {
        Instance earlier = mHolder;
        schedule(
                mRandom.nextLong(200) * MILLI_NANOS,
                () -> earlier.handle(new RolloutEvent.LeaseLost(TRAINER)));
        mHolder = new Instance();
        mHolder.acquireLease();
    }

    /** Lets the holder's lease expire and be renewed before another instance takes it. */
    void loseAndRegainLease() {
        mHolder.handle(new RolloutEvent.LeaseLost(TRAINER));
        mHolder.handle(new RolloutEvent.LeaseAcquired(TRAINER, mHolder.mGuard));
        mHolder.observeVersion();
    }

    /** Advances the clock until the trainer has the given number of samples or the time is over. */
    void runUntil(int samples, long seconds) {
        long end = mNow + seconds * 1_000 * MILLI_NANOS;
        poll();
        while (mReceived.size() < samples && mNow < end) {
            long timer = mHolder.mAlive ? mHolder.mDuty.nextTimerNanos() : Duty.NO_TIMER;
            Task task = mTasks.peek();
            long next = Math.min(timer, task == null ? Duty.NO_TIMER : task.at);
            if (next == Duty.NO_TIMER || next > end) {
                mNow = end;
            } else if (task != null && task.at <= timer) {
                mTasks.remove();
                mNow = Math.max(mNow, task.at);
                task.work.run();
            } else {
                mNow = Math.max(mNow, timer);
                mHolder.mDuty.onTimer(mNow, mHolder::execute);
            }
            mMaxHeld = Math.max(mMaxHeld, mHolder.mDuty.heldSampleCount());
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
                mReceived.values().stream().sorted(order).toList(),
                equalTo(expected.stream().sorted(order).toList()));
        assertThat(mReceived.lastKey(), is((long) expected.size() - 1));
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
        if (mPendingSubmissions.contains(submission)) {
            mHolder.handle(new RolloutEvent.GroupsSubmitted(submission.step(), submission));
            schedule(2_000 * MILLI_NANOS, () -> trySubmit(submission));
        }
    }

    private void poll() {
        mRequests++;
        mHolder.handle(
                new RolloutEvent.SamplesRequested(
                        TRAINER, 1_000_000 + mRequests, mCursor, 16, 500 * MILLI_NANOS));
    }

    private void schedule(long delay, Runnable work) {
        mSequence++;
        mTasks.add(new Task(mNow + delay, mSequence, work));
    }

    private void receive(RolloutAction.Deliver delivery, Instance from) {
        long position = delivery.firstPosition();
        for (BatchEntry entry : delivery.entries()) {
            JudgedSample body = mStore.body(entry.object()).get(entry.slot());
            assertThat(body.id(), equalTo(entry.id()));
            assertThat(body.sample().ranges(), equalTo(mExpectedRanges.get(body.sample().text())));
            assertThat(
                    body.sample().oldest().number(),
                    greaterThanOrEqualTo(from.mKnownVersion - MAX_STALENESS));
            SampleId earlier = mReceived.putIfAbsent(position, entry.id());
            assertThat(earlier == null || earlier.equals(entry.id()), is(true));
            position++;
        }
        mCursor = Math.max(mCursor, position);
        if (mRandom.nextInt(3) == 0) {
            long acknowledged = mCursor;
            schedule(
                    MILLI_NANOS,
                    () ->
                            mHolder.handle(
                                    new RolloutEvent.CursorAcknowledged(TRAINER, 0, acknowledged)));
        }
    }

    private GeneratedSample generate(RolloutAction.Generate action, long started) {
        String text = action.sample() + "#" + mSequence + "." + mExpectedRanges.size();
        int middle = 1 + mRandom.nextInt(20);
        UpstreamId engine = new UpstreamId("engine-1");
        List<TokenRange> ranges =
                started == mVersion
                        ? List.of(new TokenRange(0, 30, new WeightVersion(mVersion), engine))
                        : List.of(
                                new TokenRange(0, middle, new WeightVersion(started), engine),
                                new TokenRange(middle, 30, new WeightVersion(mVersion), engine));
        mExpectedRanges.put(text, ranges);
        return new GeneratedSample(text, ranges, 0, 1);
    }

    private record Task(long at, long sequence, Runnable work) {}

    /** One instance. After a crash it handles no events and executes no actions. */
    private final class Instance {
        private final RolloutDuty mDuty =
                new RolloutDuty(
                        new RolloutSetup(
                                "i" + mRandom.nextInt(1_000_000),
                                new RolloutLimits(
                                        12,
                                        1_000,
                                        4,
                                        java.time.Duration.ofMillis(100),
                                        java.time.Duration.ofMillis(50),
                                        java.time.Duration.ofSeconds(1),
                                        8),
                                mPolicy,
                                new LengthPredictor(),
                                mRandom.split(),
                                InvariantMonitor.throwing()));
        private long mGuard;
        private long mKnownVersion;
        private boolean mAlive = true;

        void acquireLease() {
            mGuard = mStore.takeLease();
            handle(new RolloutEvent.LeaseAcquired(TRAINER, mGuard));
            observeVersion();
        }

        void observeVersion() {
            mKnownVersion = mVersion;
            handle(new RolloutEvent.VersionObserved(TRAINER, new WeightVersion(mVersion)));
        }

        void handle(RolloutEvent event) {
            if (mAlive) {
                mDuty.onEvent(event, mNow, this::execute);
            }
        }

        private void respond(RolloutEvent event, int repeats) {
            for (int i = 0; i < repeats; i++) {
                schedule(mRandom.nextLong(1, 40) * MILLI_NANOS, () -> handle(event));
            }
        }

        private void execute(RolloutAction action) {
            mActionCount++;
            if (mActionCount == mCrashAtAction) {
                schedule(0, RolloutSimulation.this::crashHolder);
                mAlive = !mCrashBeforeAction;
            }
            if (!mAlive) {
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
                                            mStore.read(restore.atLeastVersion(), mRandom)));
                            observeVersion();
                        });
            } else if (action instanceof RolloutAction.Generate generate) {
                long started = mVersion;
                schedule(
                        mRandom.nextLong(10, 400)
                                * (mRandom.nextInt(25) == 0 ? 20 : 1)
                                * MILLI_NANOS,
                        () -> respond(result(generate, started), 1 + mRandom.nextInt(10) / 9));
            } else if (action instanceof RolloutAction.Judge judge) {
                RolloutEvent event =
                        mRandom.nextInt(20) == 0
                                ? new RolloutEvent.SampleFailed(
                                        TRAINER, judge.term(), judge.attempt())
                                : new RolloutEvent.SampleJudged(
                                        TRAINER, judge.term(), judge.attempt(), 0.5);
                respond(event, 1 + mRandom.nextInt(10) / 9);
            } else {
                executeStorage(action);
            }
        }

        private RolloutEvent result(RolloutAction.Generate action, long started) {
            return mRandom.nextInt(20) == 0
                    ? new RolloutEvent.SampleFailed(TRAINER, action.term(), action.attempt())
                    : new RolloutEvent.SampleGenerated(
                            TRAINER, action.term(), action.attempt(), generate(action, started));
        }

        private void executeStorage(RolloutAction action) {
            if (action instanceof RolloutAction.StoreBody body) {
                schedule(mRandom.nextLong(30) * MILLI_NANOS, () -> storeBody(body));
            } else if (action instanceof RolloutAction.CommitBatch batch) {
                schedule(
                        mRandom.nextLong(30) * MILLI_NANOS,
                        () -> commit(action, batch.term(), batch.commit().writer()));
            } else if (action instanceof RolloutAction.CommitCursor cursorOnly) {
                schedule(
                        mRandom.nextLong(30) * MILLI_NANOS,
                        () -> commit(action, cursorOnly.term(), cursorOnly.commit().writer()));
            } else if (action instanceof RolloutAction.Deliver delivery) {
                if (mRandom.nextInt(100) >= mResponseLossPercent) {
                    receive(delivery, this);
                }
                schedule(MILLI_NANOS, RolloutSimulation.this::poll);
            } else if (action instanceof RolloutAction.Accept accept) {
                mPendingSubmissions.removeIf(submission -> submission.step() == accept.request());
            } else if (action instanceof RolloutAction.Refuse refuse) {
                if (refuse.request() > 1_000_000) {
                    schedule(50 * MILLI_NANOS, RolloutSimulation.this::poll);
                }
            } else if (action instanceof RolloutAction.Count count) {
                mCounters.merge(count.counter(), count.amount(), Integer::sum);
            }
        }

        private void storeBody(RolloutAction.StoreBody body) {
            boolean lost = mRandom.nextInt(100) < mResponseLossPercent;
            if (!mOutage) {
                mStore.put(body.object(), body.samples());
            }
            respond(
                    mOutage || lost
                            ? new RolloutEvent.StoreFailed(TRAINER, body.term(), body.object())
                            : new RolloutEvent.BatchStored(TRAINER, body.term(), body.object()),
                    1);
        }

        private void commit(RolloutAction action, long term, String writer) {
            boolean lost = mOutage || mRandom.nextInt(100) < mResponseLossPercent;
            RolloutEvent unknown = new RolloutEvent.CommitOutcomeUnknown(TRAINER, term, writer);
            RolloutEvent result = mOutage ? unknown : mStore.commit(action, mGuard);
            respond(lost ? unknown : result, 1);
        }
    }
}
