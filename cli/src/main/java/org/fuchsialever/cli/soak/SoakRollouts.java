package org.fuchsialever.cli.soak;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.lease.LeaseAction;
import org.fuchsialever.decisions.lease.LeaseDuty;
import org.fuchsialever.decisions.lease.LeaseEvent;
import org.fuchsialever.decisions.lease.LeaseRow;
import org.fuchsialever.decisions.lease.LeaseTiming;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.decisions.samples.GeneratedSample;
import org.fuchsialever.decisions.samples.HeadCommit;
import org.fuchsialever.decisions.samples.LengthPredictor;
import org.fuchsialever.decisions.samples.RolloutAction;
import org.fuchsialever.decisions.samples.RolloutDuty;
import org.fuchsialever.decisions.samples.RolloutEvent;
import org.fuchsialever.decisions.samples.RolloutLimits;
import org.fuchsialever.decisions.samples.RolloutSetup;
import org.fuchsialever.decisions.samples.StragglerPolicy;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/** Lease and rollout duties of an instance and the translation of their actions. */
final class SoakRollouts {
    private final SoakInstance instance;
    private final SoakWorld world;
    private final ActionSink<LeaseEvent> leases;
    private final ActionSink<RolloutEvent> rollouts;
    private final Map<Long, SoakCall> running = new HashMap<>();
    private Option<LeaseRow.Role> held = Option.none();
    private long validUntil;
    private long knownVersion;

    SoakRollouts(
            SoakInstance instance,
            SoakWorld world,
            DutyStepper stepper,
            RandomGenerator random,
            StragglerPolicy policy) {
        this.instance = instance;
        this.world = world;
        leases =
                stepper.add(
                        new LeaseDuty(
                                new InstanceId(instance.name),
                                instance.name + "-start",
                                LeaseTiming.standard(),
                                random),
                        this::carryOut);
        RolloutLimits limits =
                new RolloutLimits(
                        12,
                        1_000,
                        4,
                        Duration.ofMillis(100),
                        Duration.ofMillis(50),
                        Duration.ofSeconds(1),
                        8);
        rollouts =
                stepper.add(
                        new RolloutDuty(
                                new RolloutSetup(
                                        instance.name,
                                        limits,
                                        policy,
                                        new LengthPredictor(),
                                        random,
                                        InvariantMonitor.throwing())),
                        this::carryOut);
        leases.emit(new LeaseEvent.RoleRequested(SoakTrainer.ROLE));
    }

    void emit(RolloutEvent event) {
        if (event instanceof RolloutEvent.VersionObserved observed) {
            knownVersion = Math.max(knownVersion, observed.version().number());
        }
        rollouts.emit(event);
    }

    /** A paused process may resume at any moment, so a pause does not end the right to act. */
    boolean mayAct() {
        return instance.isAlive() && held.isDefined() && world.timeline.now() < validUntil;
    }

    private void carryOut(LeaseAction action) {
        if (action instanceof LeaseAction.StartHolding start) {
            held = Option.some(start.role());
            validUntil = start.validUntilNanos();
            world.checker.count("lease.gained");
            emit(new RolloutEvent.LeaseAcquired(SoakTrainer.NAME, start.role().fencing()));
        } else if (action instanceof LeaseAction.ExtendHolding extend) {
            validUntil = extend.validUntilNanos();
        } else if (action instanceof LeaseAction.StopHolding) {
            held = Option.none();
            world.checker.count("lease.lost");
            emit(new RolloutEvent.LeaseLost(SoakTrainer.NAME));
        } else if (action instanceof LeaseAction.ReadTable read) {
            request(
                    leases,
                    () -> world.leases.read(read.afterVersion()),
                    new LeaseEvent.ReadFailed());
        } else if (action instanceof LeaseAction.WriteRows write) {
            request(
                    leases,
                    () -> world.leases.commit(write.commit()),
                    new LeaseEvent.WriteOutcomeUnknown(write.commit().writer()));
        }
    }

    private void carryOut(RolloutAction action) {
        if (action instanceof RolloutAction.Generate generate) {
            generate(generate);
        } else if (action instanceof RolloutAction.CancelGeneration cancel) {
            SoakCall call = running.remove(cancel.attempt());
            if (call != null) {
                call.onEnd = (outcome) -> {};
                instance.endCall(call);
            }
        } else if (action instanceof RolloutAction.Judge judge) {
            RolloutEvent judged =
                    new RolloutEvent.SampleJudged(
                            SoakTrainer.NAME, judge.term(), judge.attempt(), 0.5);
            after(world.latency(), world.lost() ? failed(judge.term(), judge.attempt()) : judged);
        } else if (action instanceof RolloutAction.StoreBody body) {
            request(
                    rollouts,
                    () -> {
                        world.samples.put(body.object(), body.samples());
                        return new RolloutEvent.BatchStored(
                                SoakTrainer.NAME, body.term(), body.object());
                    },
                    new RolloutEvent.StoreFailed(SoakTrainer.NAME, body.term(), body.object()));
        } else if (action instanceof RolloutAction.CommitBatch batch) {
            commit(batch.term(), batch.commit());
        } else if (action instanceof RolloutAction.CommitCursor cursor) {
            commit(cursor.term(), cursor.commit());
        } else if (action instanceof RolloutAction.Restore restore) {
            world.timeline.after(restore.delayNanos(), () -> restore(restore));
        } else if (!world.lost()) {
            long known = knownVersion;
            world.timeline.after(world.latency(), () -> world.trainer().answer(action, known));
        }
    }

    private void restore(RolloutAction.Restore restore) {
        if (world.store.down) {
            // The reader of a node goes on trying while the lease is held.
            if (mayAct()) {
                world.timeline.after(500 * SoakTimeline.MILLI, () -> restore(restore));
            }
            return;
        }
        RolloutEvent restored =
                new RolloutEvent.TrainerRestored(
                        SoakTrainer.NAME,
                        restore.term(),
                        world.samples.read(restore.atLeastVersion()));
        after(world.latency(), restored);
        after(
                10 * SoakTimeline.MILLI,
                new RolloutEvent.VersionObserved(
                        SoakTrainer.NAME, new WeightVersion(world.newestVersion())));
    }

    private void generate(RolloutAction.Generate action) {
        SoakCall call = world.sampleCall(action.maxTokens());
        running.put(action.attempt(), call);
        call.onEnd =
                outcome -> {
                    running.remove(action.attempt());
                    RolloutEvent result =
                            outcome == Outcome.COMPLETED
                                    ? generated(action, call)
                                    : failed(action.term(), action.attempt());
                    after(SoakTimeline.MILLI, result);
                };
        instance.generate(call, action);
    }

    private static RolloutEvent generated(RolloutAction.Generate action, SoakCall call) {
        return new RolloutEvent.SampleGenerated(
                SoakTrainer.NAME,
                action.term(),
                action.attempt(),
                new GeneratedSample(call.id.value(), call.ranges(), 0, 1));
    }

    private static RolloutEvent failed(long term, long attempt) {
        return new RolloutEvent.SampleFailed(SoakTrainer.NAME, term, attempt);
    }

    private void commit(long term, HeadCommit commit) {
        long guard = held.map(LeaseRow.Role::version).getOrElse(-1L);
        request(
                rollouts,
                () ->
                        world.samples.commit(
                                SoakTrainer.NAME,
                                term,
                                commit,
                                guard
                                        == world.leases.versionOf(
                                                LeaseRow.Role.PREFIX + SoakTrainer.ROLE)),
                new RolloutEvent.CommitOutcomeUnknown(SoakTrainer.NAME, term, commit.writer()));
    }

    private <E> void request(ActionSink<E> sink, Supplier<E> call, E unanswered) {
        world.timeline.after(
                world.latency(),
                () -> {
                    E answer = world.store.down ? unanswered : call.get();
                    E shown = world.lost() ? unanswered : answer;
                    world.timeline.after(
                            world.latency(), () -> instance.receive(() -> sink.emit(shown)));
                });
    }

    private void after(long delay, RolloutEvent event) {
        world.timeline.after(delay, () -> instance.send(event));
    }
}
