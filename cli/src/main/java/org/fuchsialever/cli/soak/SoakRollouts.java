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
    private final SoakInstance mInstance;
    private final SoakWorld mWorld;
    private final ActionSink<LeaseEvent> mLeases;
    private final ActionSink<RolloutEvent> mRollouts;
    private final Map<Long, SoakCall> mRunning = new HashMap<>();
    private Option<LeaseRow.Role> mHeld = Option.none();
    private long mValidUntil;
    private long mKnownVersion;

    SoakRollouts(
            SoakInstance instance,
            SoakWorld world,
            DutyStepper stepper,
            RandomGenerator random,
            StragglerPolicy policy) {
        mInstance = instance;
        mWorld = world;
        mLeases =
                stepper.add(
                        new LeaseDuty(
                                new InstanceId(instance.mName),
                                instance.mName + "-start",
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
        mRollouts =
                stepper.add(
                        new RolloutDuty(
                                new RolloutSetup(
                                        instance.mName,
                                        limits,
                                        policy,
                                        new LengthPredictor(),
                                        random,
                                        InvariantMonitor.throwing())),
                        this::carryOut);
        mLeases.emit(new LeaseEvent.RoleRequested(SoakTrainer.ROLE));
    }

    void emit(RolloutEvent event) {
        if (event instanceof RolloutEvent.VersionObserved observed) {
            mKnownVersion = Math.max(mKnownVersion, observed.version().number());
        }
        mRollouts.emit(event);
    }

    /** A paused process may resume at any moment, so a pause does not end the right to act. */
    boolean mayAct() {
        return mInstance.isAlive() && mHeld.isDefined() && mWorld.mTimeline.now() < mValidUntil;
    }

    private void carryOut(LeaseAction action) {
        if (action instanceof LeaseAction.StartHolding start) {
            mHeld = Option.some(start.role());
            mValidUntil = start.validUntilNanos();
            mWorld.mChecker.count("lease.gained");
            emit(new RolloutEvent.LeaseAcquired(SoakTrainer.NAME, start.role().fencing()));
        } else if (action instanceof LeaseAction.ExtendHolding extend) {
            mValidUntil = extend.validUntilNanos();
        } else if (action instanceof LeaseAction.StopHolding) {
            mHeld = Option.none();
            mWorld.mChecker.count("lease.lost");
            emit(new RolloutEvent.LeaseLost(SoakTrainer.NAME));
        } else if (action instanceof LeaseAction.ReadTable read) {
            request(
                    mLeases,
                    () -> mWorld.mLeases.read(read.afterVersion()),
                    new LeaseEvent.ReadFailed());
        } else if (action instanceof LeaseAction.WriteRows write) {
            request(
                    mLeases,
                    () -> mWorld.mLeases.commit(write.commit()),
                    new LeaseEvent.WriteOutcomeUnknown(write.commit().writer()));
        }
    }

    private void carryOut(RolloutAction action) {
        if (action instanceof RolloutAction.Generate generate) {
            generate(generate);
        } else if (action instanceof RolloutAction.CancelGeneration cancel) {
            SoakCall call = mRunning.remove(cancel.attempt());
            if (call != null) {
                call.mOnEnd = (outcome) -> {};
                mInstance.endCall(call);
            }
        } else if (action instanceof RolloutAction.Judge judge) {
            RolloutEvent judged =
                    new RolloutEvent.SampleJudged(
                            SoakTrainer.NAME, judge.term(), judge.attempt(), 0.5);
            after(mWorld.latency(), mWorld.lost() ? failed(judge.term(), judge.attempt()) : judged);
        } else if (action instanceof RolloutAction.StoreBody body) {
            request(
                    mRollouts,
                    () -> {
                        mWorld.mSamples.put(body.object(), body.samples());
                        return new RolloutEvent.BatchStored(
                                SoakTrainer.NAME, body.term(), body.object());
                    },
                    new RolloutEvent.StoreFailed(SoakTrainer.NAME, body.term(), body.object()));
        } else if (action instanceof RolloutAction.CommitBatch batch) {
            commit(batch.term(), batch.commit());
        } else if (action instanceof RolloutAction.CommitCursor cursor) {
            commit(cursor.term(), cursor.commit());
        } else if (action instanceof RolloutAction.Restore restore) {
            mWorld.mTimeline.after(restore.delayNanos(), () -> restore(restore));
        } else if (!mWorld.lost()) {
            long known = mKnownVersion;
            mWorld.mTimeline.after(mWorld.latency(), () -> mWorld.trainer().answer(action, known));
        }
    }

    private void restore(RolloutAction.Restore restore) {
        if (mWorld.mStore.mDown) {
            // The reader of a node goes on trying while the lease is held.
            if (mayAct()) {
                mWorld.mTimeline.after(500 * SoakTimeline.MILLI, () -> restore(restore));
            }
            return;
        }
        RolloutEvent restored =
                new RolloutEvent.TrainerRestored(
                        SoakTrainer.NAME,
                        restore.term(),
                        mWorld.mSamples.read(restore.atLeastVersion()));
        after(mWorld.latency(), restored);
        after(
                10 * SoakTimeline.MILLI,
                new RolloutEvent.VersionObserved(
                        SoakTrainer.NAME, new WeightVersion(mWorld.newestVersion())));
    }

    private void generate(RolloutAction.Generate action) {
        SoakCall call = mWorld.sampleCall(action.maxTokens());
        mRunning.put(action.attempt(), call);
        call.mOnEnd =
                outcome -> {
                    mRunning.remove(action.attempt());
                    RolloutEvent result =
                            outcome == Outcome.COMPLETED
                                    ? generated(action, call)
                                    : failed(action.term(), action.attempt());
                    after(SoakTimeline.MILLI, result);
                };
        mInstance.generate(call, action);
    }

    private static RolloutEvent generated(RolloutAction.Generate action, SoakCall call) {
        return new RolloutEvent.SampleGenerated(
                SoakTrainer.NAME,
                action.term(),
                action.attempt(),
                new GeneratedSample(call.mId.value(), call.ranges(), 0, 1));
    }

    private static RolloutEvent failed(long term, long attempt) {
        return new RolloutEvent.SampleFailed(SoakTrainer.NAME, term, attempt);
    }

    private void commit(long term, HeadCommit commit) {
        long guard = mHeld.map(LeaseRow.Role::version).getOrElse(-1L);
        request(
                mRollouts,
                () ->
                        mWorld.mSamples.commit(
                                SoakTrainer.NAME,
                                term,
                                commit,
                                guard
                                        == mWorld.mLeases.versionOf(
                                                LeaseRow.Role.PREFIX + SoakTrainer.ROLE)),
                new RolloutEvent.CommitOutcomeUnknown(SoakTrainer.NAME, term, commit.writer()));
    }

    private <E> void request(ActionSink<E> sink, Supplier<E> call, E unanswered) {
        mWorld.mTimeline.after(
                mWorld.latency(),
                () -> {
                    E answer = mWorld.mStore.mDown ? unanswered : call.get();
                    E shown = mWorld.lost() ? unanswered : answer;
                    mWorld.mTimeline.after(
                            mWorld.latency(), () -> mInstance.receive(() -> sink.emit(shown)));
                });
    }

    private void after(long delay, RolloutEvent event) {
        mWorld.mTimeline.after(delay, () -> mInstance.send(event));
    }
}
