package org.fuchsialever.node.orders;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.decisions.config.Pool;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.intent.IntentTiming;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.orders.OrderDuty;
import org.fuchsialever.decisions.orders.OrderEvent;
import org.fuchsialever.decisions.orders.OrderPolicy;
import org.fuchsialever.decisions.orders.PlanLimits;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.dispatch.DispatchFeed;
import org.fuchsialever.node.intent.EventPort;
import org.fuchsialever.node.intent.IntentServices;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.Timers;

/** Orders upstreams for the pools whose leases this instance holds. */
public final class OrdersComponent implements Component {
    private static final String SECTION = "orders";
    private static final int RING_CAPACITY = 4_096;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final double PERCENT = 100;

    private OrderPolicy mPolicy = OrderPolicy.PLANNED;
    private Duration mReceiverTimeout = REQUEST_TIMEOUT;
    private double mCheapPrice;
    private double mStartCost;
    private FailureDomain mOwnDomain = new FailureDomain("none");

    @Override
    public String pluginName() {
        return "orders";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                NodeIdentity.class,
                Platform.class,
                Leases.class,
                ConfigHolder.class,
                InvariantMonitor.class,
                DispatchFeed.class,
                LeavingUpstreamPublisher.class,
                PoolDemands.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of();
    }

    @Override
    public void configure(SettingsReader settings) {
        mPolicy = settings.choice(SECTION, "policy", OrderPolicy.class, OrderPolicy.PLANNED);
        mReceiverTimeout = settings.duration(SECTION, "receiver-request-timeout", REQUEST_TIMEOUT);
        mCheapPrice = settings.integer(SECTION, "cheap-price-percent", 35, 1, 100) / PERCENT;
        mStartCost = settings.duration(SECTION, "start-cost", Duration.ofMinutes(3)).toSeconds();
    }

    @Override
    public void install(ComponentContext context) {
        Platform platform = context.require(Platform.class);
        mOwnDomain = context.require(NodeIdentity.class).failureDomain();
        IntentServices services =
                new IntentServices(
                        platform.tables(),
                        context.require(Leases.class),
                        context.require(InvariantMonitor.class),
                        context.meters());
        Map<PoolName, EventPort<OrderEvent>> pools = new ConcurrentHashMap<>();
        context.require(ConfigHolder.class)
                .addListener(
                        snapshot ->
                                snapshot.pools()
                                        .values()
                                        .forEach(
                                                pool ->
                                                        pools.computeIfAbsent(
                                                                        pool.name(),
                                                                        name ->
                                                                                start(
                                                                                        context,
                                                                                        services,
                                                                                        name))
                                                                .accept(limits(pool))));
    }

    private EventPort<OrderEvent> start(
            ComponentContext context, IntentServices services, PoolName pool) {
        EventPort<OrderEvent> port = new EventPort<>(Timers.realTime());
        OrderActions actions =
                new OrderActions(
                        pool,
                        context.require(Platform.class).ordering(),
                        services,
                        context.require(DispatchFeed.class),
                        context.require(LeavingUpstreamPublisher.class),
                        port);
        OrderDuty duty =
                new OrderDuty(
                        pool,
                        mPolicy,
                        IntentTiming.standard(mReceiverTimeout),
                        context.random("orders-" + pool),
                        context.time().nanoTime(),
                        services.invariants());
        port.connect(context.startDuty(duty, RING_CAPACITY, OverflowPolicy.REFUSE, actions));
        context.require(PoolDemands.class)
                .addListener(pool, demand -> port.offerOnce(new OrderEvent.DemandObserved(demand)));
        services.leases().request(OrderDuty.roleOf(pool), actions.intents());
        return port;
    }

    /** Takes the failure domains of a pool from its upstreams in the pool table. */
    private OrderEvent limits(Pool pool) {
        List<FailureDomain> domains =
                pool.upstreams().stream().map(UpstreamSpec::domain).distinct().sorted().toList();
        int slots = pool.upstreams().stream().mapToInt(UpstreamSpec::slots).min().orElse(1);
        return new OrderEvent.LimitsChanged(
                new PlanLimits(
                        pool.minimum(),
                        pool.maximum(),
                        slots,
                        domains.isEmpty() ? List.of(mOwnDomain) : domains,
                        1,
                        mCheapPrice,
                        mStartCost));
    }
}
