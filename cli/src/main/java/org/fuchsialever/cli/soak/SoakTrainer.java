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

    private final SoakWorld world;
    private final RandomGenerator random;
    private final Map<Long, SampleId> byPosition = new HashMap<>();
    private final Set<SampleId> received = new HashSet<>();
    private final Set<SampleId> expected = new HashSet<>();
    private long step;
    private long cursor;
    private long requests;
    private boolean accepted = true;
    private boolean stopped;

    SoakTrainer(SoakWorld world, RandomGenerator random) {
        this.world = world;
        this.random = random;
        nextStep();
        poll();
    }

    /** Submits no further step. */
    void stop() {
        stopped = true;
    }

    /** Returns whether all samples of all submitted steps have been received. */
    boolean isComplete() {
        return received.size() == expected.size();
    }

    private void nextStep() {
        step++;
        List<GroupSpec> groups = new ArrayList<>();
        for (int group = 0; group < GROUPS; group++) {
            String name = "g" + group;
            groups.add(new GroupSpec(name, "prompt " + group, SAMPLES, MAX_TOKENS));
            for (int index = 0; index < SAMPLES; index++) {
                expected.add(new SampleId(NAME, step, name, index));
            }
        }
        accepted = false;
        submit(
                new Submission(
                        NAME,
                        step,
                        "m",
                        STALENESS,
                        60 * SoakTimeline.SECOND,
                        new TeamName("team-0"),
                        new RouteName("rollouts"),
                        groups,
                        "groups/" + step));
    }

    private void submit(Submission submission) {
        if (!accepted && submission.step() == step) {
            send(new RolloutEvent.GroupsSubmitted(-step, submission));
            world.timeline.after(TIMEOUT_NANOS, () -> submit(submission));
        }
    }

    private void poll() {
        requests++;
        long request = requests;
        send(new RolloutEvent.SamplesRequested(NAME, request, cursor, 5, POLL_NANOS));
        world.timeline.after(
                TIMEOUT_NANOS,
                () -> {
                    if (requests == request) {
                        poll();
                    }
                });
    }

    private void send(RolloutEvent event) {
        List<SoakInstance> holders =
                world.instances().stream().filter(each -> each.rollouts().mayAct()).toList();
        if (!holders.isEmpty()) {
            SoakInstance holder = holders.get(0);
            world.timeline.after(world.latency(), () -> holder.send(event));
        }
    }

    /** Takes an answer of an instance that knows the given newest version. */
    void answer(RolloutAction action, long knownVersion) {
        if (action instanceof RolloutAction.Accept accept && accept.request() == -step) {
            accepted = true;
        } else if (action instanceof RolloutAction.Deliver delivery) {
            deliver(delivery, knownVersion);
        }
    }

    private void deliver(RolloutAction.Deliver delivery, long knownVersion) {
        long position = delivery.firstPosition();
        for (BatchEntry entry : delivery.entries()) {
            JudgedSample body = world.samples.body(entry.object(), entry.slot());
            check(entry, body, position, knownVersion);
            position++;
        }
        if (delivery.request() != requests) {
            return;
        }
        cursor = Math.max(cursor, position);
        if (random.nextInt(3) == 0) {
            send(new RolloutEvent.CursorAcknowledged(NAME, 0, cursor));
        }
        if (isComplete() && !stopped) {
            nextStep();
        }
        poll();
    }

    private void check(BatchEntry entry, JudgedSample body, long position, long knownVersion) {
        SampleId earlier = byPosition.putIfAbsent(position, entry.id());
        boolean first = received.add(entry.id());
        world.checker.require(
                earlier == null ? first : earlier.equals(entry.id()),
                Invariant.SAMPLE_EXACTLY_ONCE,
                entry.id() + " at position " + position + " after " + earlier);
        world.checker.require(
                expected.contains(entry.id()) && body.id().equals(entry.id()),
                Invariant.SAMPLE_EXACTLY_ONCE,
                entry.id() + " was not asked for or has the body of " + body.id());
        world.checker.require(
                body.sample().oldest().number() >= knownVersion - STALENESS,
                Invariant.SAMPLE_WITHIN_STALENESS,
                entry.id() + " of version " + body.sample().oldest() + " at " + knownVersion);
        world.checker.require(
                world.wasGenerated(body.sample()),
                Invariant.SAMPLE_NAMES_TRUE_VERSIONS,
                entry.id() + " names " + body.sample().ranges());
        if (first) {
            world.checker.count("samples");
        }
    }
}
