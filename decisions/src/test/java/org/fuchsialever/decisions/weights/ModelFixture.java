package org.fuchsialever.decisions.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.Intent;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentEvent;
import org.fuchsialever.decisions.intent.IntentTiming;
import org.fuchsialever.decisions.intent.Journal;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.time.ManualTimeSource;

/** Runs a weight duty against six simulated engines in three failure domains. */
final class ModelFixture {
    static final long SECOND = 1_000_000_000L;
    private static final int ENGINES = 6;
    private static final long STEP = SECOND / 10;

    final Map<UpstreamId, Engine> mEngines = new LinkedHashMap<>();
    final List<LoadCommand> mReceived = new ArrayList<>();
    final List<UpstreamId> mFailedLoads = new ArrayList<>();
    final List<WeightVersion> mRolledBack = new ArrayList<>();
    final DutyStepper mStepper = new DutyStepper(new ManualTimeSource(0));
    int mMaxLoading;
    private final ActionSink<WeightEvent> mDuty;
    private long mLatest = 1;
    private long mJournalVersion;

    ModelFixture(List<Intent<LoadCommand>> inherited) {
        mDuty =
                mStepper.add(
                        new WeightDuty(
                                "chat",
                                RollingUpdateLimits.standard(100),
                                IntentTiming.standard(Duration.ofSeconds(10)),
                                new SplittableRandom(1),
                                0,
                                InvariantMonitor.throwing()),
                        action -> execute(action, inherited));
        List<WeightEvent.Engine> specs = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            UpstreamId id = new UpstreamId("engine-" + i);
            mEngines.put(id, new Engine());
            specs.add(new WeightEvent.Engine(id, new FailureDomain("d" + i % 3), i % 2 == 0));
        }
        mDuty.emit(new WeightEvent.EnginesChanged(specs));
        mDuty.emit(new WeightEvent.RoleEvent(new IntentEvent.LeaseAcquired<>(2)));
        runSeconds(1);
    }

    Engine engine(int number) {
        return engine(new UpstreamId("engine-" + number));
    }

    private Engine engine(UpstreamId id) {
        return Objects.requireNonNull(mEngines.get(id));
    }

    void publish(long version) {
        mLatest = version;
    }

    void runSeconds(int seconds) {
        for (long at = 0; at < seconds * SECOND; at += STEP) {
            mEngines.forEach(
                    (id, engine) -> {
                        if (engine.mReports) {
                            mDuty.emit(
                                    new WeightEvent.VersionReported(
                                            id, new WeightVersion(engine.mVersion), engine.mStart));
                        }
                    });
            mStepper.advance(STEP);
            int loading = (int) mEngines.values().stream().filter(e -> e.mLoading > 0).count();
            mMaxLoading = Math.max(mMaxLoading, loading);
            mEngines.values().forEach(Engine::step);
        }
    }

    List<Long> versions() {
        return mEngines.values().stream().map(engine -> engine.mVersion).toList();
    }

    private void execute(WeightAction action, List<Intent<LoadCommand>> inherited) {
        if (action instanceof WeightAction.ReadLatestVersion) {
            mDuty.emit(new WeightEvent.LatestVersionRead(new WeightVersion(mLatest)));
        } else if (action instanceof WeightAction.LoadFailed failed) {
            mFailedLoads.add(failed.upstream());
        } else if (action instanceof WeightAction.VersionRolledBack version) {
            mRolledBack.add(version.version());
        } else if (action instanceof WeightAction.RoleAction role) {
            executeRoleAction(role.action(), inherited);
        }
    }

    private void executeRoleAction(
            IntentAction<LoadCommand> action, List<Intent<LoadCommand>> inherited) {
        if (action instanceof IntentAction.ReadJournal<LoadCommand> read) {
            emit(new IntentEvent.JournalRead<>(read.fencing(), new Journal<>(0, "", inherited)));
        } else if (action instanceof IntentAction.WriteJournal<LoadCommand> write) {
            emit(new IntentEvent.Committed<>(write.writer(), ++mJournalVersion));
        } else if (action instanceof IntentAction.SendCommand<LoadCommand> order) {
            LoadCommand command = order.intent().command();
            mReceived.add(command);
            CommandResult result = engine(command.upstream()).load(command.version().number());
            emit(
                    new IntentEvent.AttemptEnded<>(
                            order.fencing(), order.intent().id(), order.attempt(), result));
        }
    }

    private void emit(IntentEvent<LoadCommand> event) {
        mDuty.emit(new WeightEvent.RoleEvent(event));
    }

    /** Simulated engine that loads for one second after it has accepted an order. */
    static final class Engine {
        private static final int LOAD_STEPS = 10;

        long mVersion = 1;
        String mStart = "first";
        boolean mReports = true;
        int mFailures;
        boolean mIgnoresOrders;
        private int mLoading;
        private long mNext;

        void restart(long oldVersion) {
            mVersion = oldVersion;
            mStart = mStart + "-again";
            mLoading = 0;
        }

        private CommandResult load(long wanted) {
            if (mFailures > 0) {
                mFailures--;
                return CommandResult.FAILED;
            }
            if (!mIgnoresOrders) {
                mNext = wanted;
                mLoading = LOAD_STEPS;
            }
            return CommandResult.DONE;
        }

        private void step() {
            if (mLoading > 0 && --mLoading == 0) {
                mVersion = mNext;
            }
        }
    }
}
