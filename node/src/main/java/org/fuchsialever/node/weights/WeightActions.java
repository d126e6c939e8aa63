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

/** Carries out the actions of the weight duty of one model. */
final class WeightActions implements ActionSink<WeightAction> {
    private static final PartLogger LOG = PartLogger.of("weights");

    private final String model;
    private final WeightStore store;
    private final EngineOrders orders = new EngineOrders();
    private final MeterRegistry meters;
    private final EventPort<WeightEvent> events;
    private final RoleIntents<LoadCommand> intents;
    private volatile Map<UpstreamId, UpstreamSpec> engines = Map.of();

    WeightActions(
            String model,
            WeightStore store,
            IntentServices services,
            EventPort<WeightEvent> events) {
        this.model = model;
        this.store = store;
        this.meters = services.meters();
        this.events = events;
        this.intents =
                new RoleIntents<>(
                        WeightDuty.roleOf(model),
                        new LoadCommandCodec(),
                        services,
                        this::send,
                        event -> events.accept(new WeightEvent.RoleEvent(event)));
    }

    RoleIntents<LoadCommand> intents() {
        return intents;
    }

    /** Sets where the engines are; one that is not listed gets no orders. */
    void setEngines(Map<UpstreamId, UpstreamSpec> present) {
        engines = Map.copyOf(present);
    }

    @Override
    public void emit(WeightAction action) {
        if (action instanceof WeightAction.RoleAction role) {
            intents.execute(role.action());
        } else if (action instanceof WeightAction.ReadLatestVersion) {
            store.latest(model)
                    .subscribe(
                            version -> events.offerOnce(new WeightEvent.LatestVersionRead(version)),
                            failure -> count("latest-not-read"));
        } else if (action instanceof WeightAction.LoadFailed failed) {
            count("load-failed");
            LOG.warning(failed.upstream() + " did not load version " + failed.version() + ".");
        } else if (action instanceof WeightAction.VersionRolledBack version) {
            count("version-given-up");
            LOG.warning(
                    "Version "
                            + version.version()
                            + " failed on several engines; "
                            + version.fallback()
                            + " replaces it.");
        }
    }

    private Mono<CommandResult> send(
            IntentAction.SendCommand<LoadCommand> order, BooleanSupplier stillHolding) {
        return Option.of(engines.get(order.intent().command().upstream()))
                .map(engine -> orders.send(engine, order, stillHolding))
                .getOrElse(Mono.just(CommandResult.NOT_SENT));
    }

    private void count(String reason) {
        meters.counter("fuchsialever.weights.retries", "model", model, "reason", reason)
                .increment();
    }
}
