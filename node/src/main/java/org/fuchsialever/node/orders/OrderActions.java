package org.fuchsialever.node.orders;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.orders.CapacityPlacement;
import org.fuchsialever.decisions.orders.ObservedUpstream;
import org.fuchsialever.decisions.orders.OrderAction;
import org.fuchsialever.decisions.orders.OrderDuty;
import org.fuchsialever.decisions.orders.OrderEvent;
import org.fuchsialever.decisions.orders.UpstreamCommand;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.dispatch.DispatchFeed;
import org.fuchsialever.node.intent.IntentServices;
import org.fuchsialever.node.intent.RoleIntents;
import org.fuchsialever.services.OrderedUpstream;
import org.fuchsialever.services.OrderingService;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.UpstreamOrder;
import org.fuchsialever.services.UpstreamOrderResult;
import reactor.core.publisher.Mono;

/** Carries out the actions of the order duty of one pool. */
final class OrderActions implements ActionSink<OrderAction> {
    private final PoolName pool;
    private final OrderingService ordering;
    private final DispatchFeed dispatch;
    private final LeavingUpstreamPublisher peers;
    private final MeterRegistry meters;
    private final RoleIntents<UpstreamCommand> intents;
    private final Consumer<OrderEvent> events;

    OrderActions(
            PoolName pool,
            OrderingService ordering,
            IntentServices services,
            DispatchFeed dispatch,
            LeavingUpstreamPublisher peers,
            Consumer<OrderEvent> events) {
        this.pool = pool;
        this.ordering = ordering;
        this.dispatch = dispatch;
        this.peers = peers;
        this.meters = services.meters();
        this.events = events;
        this.intents =
                new RoleIntents<>(
                        OrderDuty.roleOf(pool),
                        new UpstreamCommandCodec(),
                        services,
                        (order, stillHolding) ->
                                ordering.send(order(order), stillHolding)
                                        .map(OrderActions::result)
                                        .onErrorResume(
                                                PlatformException.class, OrderActions::failed),
                        event -> events.accept(new OrderEvent.RoleEvent(event)));
    }

    RoleIntents<UpstreamCommand> intents() {
        return intents;
    }

    @Override
    public void emit(OrderAction action) {
        if (action instanceof OrderAction.RoleAction role) {
            intents.execute(role.action());
        } else if (action instanceof OrderAction.ListUpstreams) {
            ordering.list()
                    .subscribe(
                            list -> events.accept(new OrderEvent.UpstreamsListed(observed(list))),
                            failure -> count("list-failed"));
        } else if (action instanceof OrderAction.PublishLeaving leaving) {
            dispatch.report(new DispatchEvent.UpstreamLeaving(leaving.upstream()));
            peers.publish(Set.of(leaving.upstream()));
        } else if (action instanceof OrderAction.CapacityRefused refusal) {
            count("capacity-refused-" + SettingsReader.label(refusal.placement().kind()));
        }
    }

    private List<ObservedUpstream> observed(List<OrderedUpstream> list) {
        return list.stream()
                .filter(upstream -> upstream.pool().equals(pool))
                .map(OrderActions::observed)
                .toList();
    }

    private static ObservedUpstream observed(OrderedUpstream upstream) {
        ObservedUpstream.State state = ObservedUpstream.State.valueOf(upstream.state().name());
        boolean reclaimed = upstream.reclaimAtMillis() > 0 && state.countsAsCapacity();
        return new ObservedUpstream(
                upstream.upstream(),
                new CapacityPlacement(upstream.kind(), upstream.domain()),
                reclaimed ? ObservedUpstream.State.LEAVING : state);
    }

    private static UpstreamOrder order(IntentAction.SendCommand<UpstreamCommand> order) {
        UpstreamCommand command = order.intent().command();
        CapacityKind kind = command.placement().kind();
        return new UpstreamOrder(
                order.intent().id(),
                UpstreamOrder.Action.valueOf(command.action().name()),
                command.upstream(),
                command.pool(),
                command.placement().domain(),
                kind);
    }

    /** A used name is one of an earlier attempt of the same intent: names are used by one only. */
    private static CommandResult result(UpstreamOrderResult answer) {
        return answer == UpstreamOrderResult.CAPACITY_UNAVAILABLE
                ? CommandResult.REFUSED
                : CommandResult.DONE;
    }

    private static Mono<CommandResult> failed(PlatformException failure) {
        return Mono.just(
                failure.effect() == PlatformException.Effect.NONE
                        ? CommandResult.NOT_SENT
                        : CommandResult.UNKNOWN);
    }

    private void count(String reason) {
        meters.counter("fuchsialever.orders.refusals", "pool", pool.value(), "reason", reason)
                .increment();
    }
}
