package org.fuchsialever.node.weights;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.weights.LoadCommand;
import org.fuchsialever.decisions.weights.WeightAction;
import org.fuchsialever.decisions.weights.WeightDuty;
import org.fuchsialever.decisions.weights.WeightEvent;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.node.intent.EventPort;
import org.fuchsialever.node.intent.IntentServices;
import org.fuchsialever.node.intent.RoleIntents;
import org.fuchsialever.services.WeightStore;
import reactor.core.publisher.Mono;

/** Executes the actions of the weight duty of one model. */
final class WeightActions implements ActionSink<WeightAction> {
    private static final PartLogger LOG = PartLogger.of("weights");

    private final String mModel;
    private final WeightStore mStore;
    private final EngineOrderClient mOrders = new EngineOrderClient();
    private final MeterRegistry mMeters;
    private final EventPort<WeightEvent> mEvents;
    private final RoleIntents<LoadCommand> mIntents;
    private volatile Map<UpstreamId, UpstreamSpec> mEngines = Map.of();

    WeightActions(
            String model,
            WeightStore store,
            IntentServices services,
            EventPort<WeightEvent> events) {
        mModel = model;
        mStore = store;
        mMeters = services.meters();
        mEvents = events;
        mIntents =
                new RoleIntents<>(
                        WeightDuty.roleOf(model),
                        new LoadCommandCodec(),
                        services,
                        this::send,
                        event -> events.accept(new WeightEvent.RoleEvent(event)));
    }

    RoleIntents<LoadCommand> intents() {
        return mIntents;
    }

    /** Replaces the known engines; engines that are not listed receive no orders. */
    void setEngines(Map<UpstreamId, UpstreamSpec> newEngines) {
        mEngines = Map.copyOf(newEngines);
    }

    @Override
    public void emit(WeightAction action) {
        if (action instanceof WeightAction.RoleAction role) {
            mIntents.execute(role.action());
        } else if (action instanceof WeightAction.ReadLatestVersion) {
            mStore.latest(mModel)
                    .subscribe(
                            version ->
                                    mEvents.offerOnce(new WeightEvent.LatestVersionRead(version)),
                            failure -> count("latest-not-read"));
        } else if (action instanceof WeightAction.LoadFailed failed) {
            count("load-failed");
            LOG.warning(
                    "Engine "
                            + failed.upstream()
                            + " failed to load version "
                            + failed.version()
                            + ".");
        } else if (action instanceof WeightAction.VersionRolledBack version) {
            count("version-given-up");
            LOG.warning(
                    "Version "
                            + version.version()
                            + " failed on several engines and is rolled back to version "
                            + version.fallback()
                            + ".");
        }
    }

    private Mono<CommandResult> send(
            IntentAction.SendCommand<LoadCommand> command, BooleanSupplier stillHolding) {
        return Option.of(mEngines.get(command.intent().command().upstream()))
                .map(engine -> mOrders.send(engine, command, stillHolding))
                .getOrElse(Mono.just(CommandResult.NOT_SENT));
    }

    private void count(String reason) {
        mMeters.counter("fuchsialever.weights.retries", "model", mModel, "reason", reason)
                .increment();
    }
}
