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

/** A weight duty before six engines in three failure domains that load at once. */
final class ModelFixture {
    static final long SECOND = 1_000_000_000L;
    private static final int ENGINES = 6;
    private static final long STEP = SECOND / 10;

    final Map<UpstreamId, Engine> engines = new LinkedHashMap<>();
    final List<LoadCommand> received = new ArrayList<>();
    final List<UpstreamId> failedLoads = new ArrayList<>();
    final List<WeightVersion> givenUp = new ArrayList<>();
    final DutyStepper stepper = new DutyStepper(new ManualTimeSource(0));
    int mostLoading;
    private final ActionSink<WeightEvent> duty;
    private long latest = 1;
    private long journalVersion;

    ModelFixture(List<Intent<LoadCommand>> inherited) {
        duty =
                stepper.add(
                        new WeightDuty(
                                "chat",
                                RollingUpdateLimits.standard(100),
                                IntentTiming.standard(Duration.ofSeconds(10)),
                                new SplittableRandom(1),
                                0,
                                InvariantMonitor.throwing()),
                        action -> carryOut(action, inherited));
        List<WeightEvent.Engine> specs = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            UpstreamId id = new UpstreamId("engine-" + i);
            engines.put(id, new Engine());
            specs.add(new WeightEvent.Engine(id, new FailureDomain("d" + i % 3), i % 2 == 0));
        }
        duty.emit(new WeightEvent.EnginesChanged(specs));
        duty.emit(new WeightEvent.RoleEvent(new IntentEvent.LeaseAcquired<>(2)));
        runSeconds(1);
    }

    Engine engine(int number) {
        return engine(new UpstreamId("engine-" + number));
    }

    private Engine engine(UpstreamId id) {
        return Objects.requireNonNull(engines.get(id));
    }

    void publish(long version) {
        latest = version;
    }

    void runSeconds(int seconds) {
        for (long at = 0; at < seconds * SECOND; at += STEP) {
            engines.forEach(
                    (id, engine) -> {
                        if (engine.reports) {
                            duty.emit(
                                    new WeightEvent.VersionReported(
                                            id, new WeightVersion(engine.version), engine.start));
                        }
                    });
            stepper.advance(STEP);
            int loading = (int) engines.values().stream().filter(e -> e.loading > 0).count();
            mostLoading = Math.max(mostLoading, loading);
            engines.values().forEach(Engine::step);
        }
    }

    List<Long> versions() {
        return engines.values().stream().map(engine -> engine.version).toList();
    }

    private void carryOut(WeightAction action, List<Intent<LoadCommand>> inherited) {
        if (action instanceof WeightAction.ReadLatestVersion) {
            duty.emit(new WeightEvent.LatestVersionRead(new WeightVersion(latest)));
        } else if (action instanceof WeightAction.LoadFailed failed) {
            failedLoads.add(failed.upstream());
        } else if (action instanceof WeightAction.VersionRolledBack version) {
            givenUp.add(version.version());
        } else if (action instanceof WeightAction.RoleAction role) {
            carryOutRole(role.action(), inherited);
        }
    }

    private void carryOutRole(
            IntentAction<LoadCommand> action, List<Intent<LoadCommand>> inherited) {
        if (action instanceof IntentAction.ReadJournal<LoadCommand> read) {
            emit(new IntentEvent.JournalRead<>(read.fencing(), new Journal<>(0, "", inherited)));
        } else if (action instanceof IntentAction.WriteJournal<LoadCommand> write) {
            emit(new IntentEvent.Committed<>(write.writer(), ++journalVersion));
        } else if (action instanceof IntentAction.SendCommand<LoadCommand> order) {
            LoadCommand command = order.intent().command();
            received.add(command);
            CommandResult result = engine(command.upstream()).load(command.version().number());
            emit(
                    new IntentEvent.AttemptEnded<>(
                            order.fencing(), order.intent().id(), order.attempt(), result));
        }
    }

    private void emit(IntentEvent<LoadCommand> event) {
        duty.emit(new WeightEvent.RoleEvent(event));
    }

    /** An engine that loads for a second after it has accepted an order. */
    static final class Engine {
        private static final int LOAD_STEPS = 10;

        long version = 1;
        String start = "first";
        boolean reports = true;
        int failures;
        boolean ignoresOrders;
        private int loading;
        private long next;

        void restart(long oldVersion) {
            version = oldVersion;
            start = start + "-again";
            loading = 0;
        }

        private CommandResult load(long wanted) {
            if (failures > 0) {
                failures--;
                return CommandResult.FAILED;
            }
            if (!ignoresOrders) {
                next = wanted;
                loading = LOAD_STEPS;
            }
            return CommandResult.DONE;
        }

        private void step() {
            if (loading > 0 && --loading == 0) {
                version = next;
            }
        }
    }
}
