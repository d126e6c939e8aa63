package org.fuchsialever.node.watch;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.dispatch.DispatchFeed;
import org.fuchsialever.node.intent.EventPort;
import org.fuchsialever.services.Timers;

/** Polls the upstreams of the pool table and passes their reports to the dispatch duty. */
public final class UpstreamWatchComponent implements Component {
    private static final int RING_CAPACITY = 16_384;
    private static final Duration DEFAULT_INTERVAL = Duration.ofSeconds(1);

    private Duration mInterval = DEFAULT_INTERVAL;

    @Override
    public String pluginName() {
        return "upstream-watch";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(ConfigHolder.class, DispatchFeed.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(LoadReportListeners.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        mInterval = settings.duration("upstream-watch", "interval", DEFAULT_INTERVAL);
    }

    @Override
    public void install(ComponentContext context) {
        LoadReportListeners listeners = new LoadReportListeners();
        EventPort<WatchDuty.Event> port = new EventPort<>(Timers.realTime());
        WatchActions actions =
                context.closer()
                        .register(
                                "upstream watch",
                                new WatchActions(
                                        context.time(),
                                        context.meters(),
                                        context.require(DispatchFeed.class),
                                        listeners,
                                        port));
        port.connect(
                context.startDuty(
                        new WatchDuty(mInterval), RING_CAPACITY, OverflowPolicy.REFUSE, actions));
        context.require(ConfigHolder.class)
                .addListener(
                        snapshot ->
                                port.accept(
                                        new WatchDuty.Event.UpstreamsChanged(targets(snapshot))));
        context.provide(LoadReportListeners.class, listeners);
    }

    private static List<WatchDuty.Target> targets(ConfigSnapshot snapshot) {
        return snapshot.pools().values().stream()
                .flatMap(
                        pool ->
                                pool.upstreams().stream()
                                        .map(spec -> new WatchDuty.Target(spec, pool.kind())))
                .toList();
    }
}
