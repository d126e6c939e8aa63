package org.fuchsialever.node.weights;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.Fencing;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.intent.IntentTiming;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.weights.RollingUpdateLimits;
import org.fuchsialever.decisions.weights.WeightDuty;
import org.fuchsialever.decisions.weights.WeightEvent;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.intent.EventPort;
import org.fuchsialever.node.intent.IntentServices;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.node.watch.LoadReportListeners;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.Timers;

/** Runs rolling updates of the weights of the models whose leases this instance holds. */
public final class WeightsComponent implements Component {
    private static final String SECTION = "weights";
    private static final int RING_CAPACITY = 32_768;
    private static final int MAX_LOADS_PER_SECOND = 100_000;

    private Duration mReceiverTimeout = Duration.ofSeconds(10);
    private long mLoadsPerSecond;

    @Override
    public String pluginName() {
        return "weights";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                Platform.class,
                Leases.class,
                ConfigHolder.class,
                InvariantMonitor.class,
                LoadReportListeners.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of();
    }

    @Override
    public void configure(SettingsReader settings) {
        mReceiverTimeout =
                settings.duration(SECTION, "receiver-request-timeout", Duration.ofSeconds(10));
        mLoadsPerSecond =
                settings.integer(SECTION, "loads-per-second", 10, 1, MAX_LOADS_PER_SECOND);
    }

    @Override
    public void install(ComponentContext context) {
        IntentServices services =
                new IntentServices(
                        context.require(Platform.class).tables(),
                        context.require(Leases.class),
                        context.require(InvariantMonitor.class),
                        context.meters());
        Map<String, RollingUpdate> updates = new ConcurrentHashMap<>();
        context.require(LoadReportListeners.class)
                .add(
                        (upstream, report) -> {
                            WeightEvent event =
                                    new WeightEvent.VersionReported(
                                            upstream, report.version(), report.startId());
                            // Each duty ignores upstreams of other models.
                            updates.values().forEach(each -> each.port.offerOnce(event));
                        });
        context.require(ConfigHolder.class)
                .addListener(
                        snapshot ->
                                engines(snapshot)
                                        .forEach(
                                                (model, engines) ->
                                                        updates.computeIfAbsent(
                                                                        model,
                                                                        name ->
                                                                                start(
                                                                                        context,
                                                                                        services,
                                                                                        name))
                                                                .setEngines(engines)));
    }

    private RollingUpdate start(ComponentContext context, IntentServices services, String model) {
        EventPort<WeightEvent> port = new EventPort<>(Timers.realTime());
        WeightActions actions =
                new WeightActions(model, context.require(Platform.class).weights(), services, port);
        WeightDuty duty =
                new WeightDuty(
                        model,
                        RollingUpdateLimits.standard(mLoadsPerSecond),
                        IntentTiming.standard(mReceiverTimeout),
                        context.random("weights-" + model),
                        context.time().nanoTime(),
                        services.invariants());
        port.connect(context.startDuty(duty, RING_CAPACITY, OverflowPolicy.REFUSE, actions));
        services.leases().request(WeightDuty.roleOf(model), actions.intents());
        return new RollingUpdate(port, actions);
    }

    private static Map<String, Map<UpstreamId, UpstreamSpec>> engines(ConfigSnapshot snapshot) {
        Map<String, Map<UpstreamId, UpstreamSpec>> models = new TreeMap<>();
        snapshot.pools().values().stream()
                .filter(pool -> pool.kind() == UpstreamKind.ENGINE && !pool.model().isEmpty())
                .forEach(
                        pool ->
                                pool.upstreams()
                                        .forEach(
                                                spec ->
                                                        models.computeIfAbsent(
                                                                        pool.model(),
                                                                        name -> new HashMap<>())
                                                                .put(spec.id(), spec)));
        return models;
    }

    private record RollingUpdate(EventPort<WeightEvent> port, WeightActions actions) {
        void setEngines(Map<UpstreamId, UpstreamSpec> engines) {
            actions.setEngines(engines);
            port.accept(
                    new WeightEvent.EnginesChanged(
                            engines.values().stream()
                                    .map(
                                            spec ->
                                                    new WeightEvent.Engine(
                                                            spec.id(),
                                                            spec.domain(),
                                                            spec.fencing() == Fencing.ENFORCED))
                                    .toList()));
        }
    }
}
