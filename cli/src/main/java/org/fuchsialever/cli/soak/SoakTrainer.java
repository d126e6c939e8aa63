package org.fuchsialever.cli.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.BatchEntry;
import org.fuchsialever.decisions.samples.GroupSpec;
import org.fuchsialever.decisions.samples.JudgedSample;
import org.fuchsialever.decisions.samples.RolloutAction;
import org.fuchsialever.decisions.samples.RolloutEvent;
import org.fuchsialever.decisions.samples.SampleId;
import org.fuchsialever.decisions.samples.Submission;
import org.fuchsialever.kernel.invariant.Invariant;

/** A trainer that submits step after step and checks what it receives. */
final class SoakTrainer {
    static final TrainerName NAME = new TrainerName("trainer");
    static final String ROLE = "trainer/" + NAME;
    private static final int STALENESS = 2;
    private static final int GROUPS = 3;
    private static final int SAMPLES = 4;
    private static final int MAX_TOKENS = 40;
    private static final long POLL_NANOS = 500 * SoakTimeline.MILLI;
    private static final long TIMEOUT_NANOS = SoakTimeline.SECOND;

    private final SoakWorld mWorld;
    private final RandomGenerator mRandom;
    private final Map<Long, SampleId> mByPosition = new HashMap<>();
    private final Set<SampleId> mReceived = new HashSet<>();
    private final Set<SampleId> mExpected = new HashSet<>();
    private long mStep;
    private long mCursor;
    private long mRequests;
    private boolean mAccepted = true;
    private boolean mStopped;

    SoakTrainer(SoakWorld world, RandomGenerator random) {
        mWorld = world;
        mRandom = random;
        nextStep();
        poll();
    }

    /** Submits no further step. */
    void stop() {
        mStopped = true;
    }

    /** Returns whether all samples of all submitted steps have been received. */
    boolean isComplete() {
        return mReceived.size() == mExpected.size();
    }

    private void nextStep() {
        mStep++;
        List<GroupSpec> groups = new ArrayList<>();
        for (int group = 0; group < GROUPS; group++) {
            String name = "g" + group;
            groups.add(new GroupSpec(name, "prompt " + group, SAMPLES, MAX_TOKENS));
            for (int index = 0; index < SAMPLES; index++) {
                mExpected.add(new SampleId(NAME, mStep, name, index));
            }
        }
        mAccepted = false;
        submit(
                new Submission(
                        NAME,
                        mStep,
                        "m",
                        STALENESS,
                        60 * SoakTimeline.SECOND,
                        new TeamName("team-0"),
                        new RouteName("rollouts"),
                        groups,
                        "groups/" + mStep));
    }

    private void submit(Submission submission) {
        if (!mAccepted && submission.step() == mStep) {
            send(new RolloutEvent.GroupsSubmitted(-mStep, submission));
            mWorld.mTimeline.after(TIMEOUT_NANOS, () -> submit(submission));
        }
    }

    private void poll() {
        mRequests++;
        long request = mRequests;
        send(new RolloutEvent.SamplesRequested(NAME, request, mCursor, 5, POLL_NANOS));
        mWorld.mTimeline.after(
                TIMEOUT_NANOS,
                () -> {
                    if (mRequests == request) {
                        poll();
                    }
                });
    }

    private void send(RolloutEvent event) {
        List<SoakInstance> holders =
                mWorld.instances().stream().filter(each -> each.rollouts().mayAct()).toList();
        if (!holders.isEmpty()) {
            SoakInstance holder = holders.get(0);
            mWorld.mTimeline.after(mWorld.latency(), () -> holder.send(event));
        }
    }

    /** Takes an answer of an instance that knows the given newest version. */
    void answer(RolloutAction action, long knownVersion) {
        if (action instanceof RolloutAction.Accept accept && accept.request() == -mStep) {
            mAccepted = true;
        } else if (action instanceof RolloutAction.Deliver delivery) {
            deliver(delivery, knownVersion);
        }
    }

    private void deliver(RolloutAction.Deliver delivery, long knownVersion) {
        long position = delivery.firstPosition();
        for (BatchEntry entry : delivery.entries()) {
            JudgedSample body = mWorld.mSamples.body(entry.object(), entry.slot());
            check(entry, body, position, knownVersion);
            position++;
        }
        if (delivery.request() != mRequests) {
            return;
        }
        mCursor = Math.max(mCursor, position);
        if (mRandom.nextInt(3) == 0) {
            send(new RolloutEvent.CursorAcknowledged(NAME, 0, mCursor));
        }
        if (isComplete() && !mStopped) {
            nextStep();
        }
        poll();
    }

    private void check(BatchEntry entry, JudgedSample body, long position, long knownVersion) {
        SampleId earlier = mByPosition.putIfAbsent(position, entry.id());
        boolean first = mReceived.add(entry.id());
        mWorld.mChecker.require(
                earlier == null ? first : earlier.equals(entry.id()),
                Invariant.SAMPLE_EXACTLY_ONCE,
                entry.id() + " at position " + position + " after " + earlier);
        mWorld.mChecker.require(
                mExpected.contains(entry.id()) && body.id().equals(entry.id()),
                Invariant.SAMPLE_EXACTLY_ONCE,
                entry.id() + " was not asked for or has the body of " + body.id());
        mWorld.mChecker.require(
                body.sample().oldest().number() >= knownVersion - STALENESS,
                Invariant.SAMPLE_WITHIN_STALENESS,
                entry.id() + " of version " + body.sample().oldest() + " at " + knownVersion);
        mWorld.mChecker.require(
                mWorld.wasGenerated(body.sample()),
                Invariant.SAMPLE_NAMES_TRUE_VERSIONS,
                entry.id() + " names " + body.sample().ranges());
        if (first) {
            mWorld.mChecker.count("samples");
        }
    }
}
