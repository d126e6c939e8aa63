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

/** Executes the actions of the order duty of one pool. */
final class OrderActions implements ActionSink<OrderAction> {
    private final PoolName mPool;
    private final OrderingService mOrdering;
    private final DispatchFeed mDispatch;
    private final LeavingUpstreamPublisher mPeers;
    private final MeterRegistry mMeters;
    private final RoleIntents<UpstreamCommand> mIntents;
    private final Consumer<OrderEvent> mEvents;

    OrderActions(
            PoolName pool,
            OrderingService ordering,
            IntentServices services,
            DispatchFeed dispatch,
            LeavingUpstreamPublisher peers,
            Consumer<OrderEvent> events) {
        mPool = pool;
        mOrdering = ordering;
        mDispatch = dispatch;
        mPeers = peers;
        mMeters = services.meters();
        mEvents = events;
        mIntents =
                new RoleIntents<>(
                        OrderDuty.roleOf(pool),
                        new UpstreamCommandCodec(),
                        services,
                        (command, stillHolding) ->
                                ordering.send(order(command), stillHolding)
                                        .map(OrderActions::result)
                                        .onErrorResume(
                                                PlatformException.class, OrderActions::failed),
                        event -> events.accept(new OrderEvent.RoleEvent(event)));
    }

    RoleIntents<UpstreamCommand> intents() {
        return mIntents;
    }

    @Override
    public void emit(OrderAction action) {
        if (action instanceof OrderAction.RoleAction role) {
            mIntents.execute(role.action());
        } else if (action instanceof OrderAction.ListUpstreams) {
            mOrdering
                    .list()
                    .subscribe(
                            list -> mEvents.accept(new OrderEvent.UpstreamsListed(observed(list))),
                            failure -> count("list-failed"));
        } else if (action instanceof OrderAction.PublishLeaving leaving) {
            mDispatch.report(new DispatchEvent.UpstreamLeaving(leaving.upstream()));
            mPeers.publish(Set.of(leaving.upstream()));
        } else if (action instanceof OrderAction.CapacityRefused refusal) {
            count("capacity-refused-" + SettingsReader.label(refusal.placement().kind()));
        }
    }

    private List<ObservedUpstream> observed(List<OrderedUpstream> list) {
        return list.stream()
                .filter(upstream -> upstream.pool().equals(mPool))
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

    private static UpstreamOrder order(IntentAction.SendCommand<UpstreamCommand> send) {
        UpstreamCommand command = send.intent().command();
        CapacityKind kind = command.placement().kind();
        return new UpstreamOrder(
                send.intent().id(),
                UpstreamOrder.Action.valueOf(command.action().name()),
                command.upstream(),
                command.pool(),
                command.placement().domain(),
                kind);
    }

    /** A name belongs to one intent, so a used name is from an earlier attempt of that intent. */
    private static CommandResult result(UpstreamOrderResult result) {
        return result == UpstreamOrderResult.CAPACITY_UNAVAILABLE
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
        mMeters.counter("fuchsialever.orders.refusals", "pool", mPool.value(), "reason", reason)
                .increment();
    }
}
