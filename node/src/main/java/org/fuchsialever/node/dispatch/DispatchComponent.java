package org.fuchsialever.node.dispatch;

import java.util.Set;
import org.fuchsialever.decisions.dispatch.DispatchDuty;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.dispatch.DispatchSettings;
import org.fuchsialever.frontend.CallPort;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.claims.ClaimGate;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.generation.GenerationPort;
import org.fuchsialever.node.keys.RunningCalls;
import org.fuchsialever.node.upstream.HttpUpstreamClient;
import org.fuchsialever.node.upstream.UpstreamTimeouts;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Runs the dispatch duty and executes calls. */
public final class DispatchComponent implements Component {
    private static final String SECTION = "limits";
    private static final int DEFAULT_QUEUE_CAPACITY = 1_024;
    private static final int DEFAULT_MAX_CALLS = 4_096;
    private static final int MAX_CAPACITY = 1_000_000;

    private int mQueueCapacity;
    private int mMaxCalls;
    private UpstreamTimeouts mTimeouts = UpstreamTimeouts.DEFAULTS;

    @Override
    public String pluginName() {
        return "dispatch";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                ConfigHolder.class, NodeIdentity.class, InvariantMonitor.class, RunningCalls.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(
                CallPort.class,
                ClaimGate.class,
                GenerationPort.class,
                CallDrain.class,
                DispatchFeed.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        mQueueCapacity =
                (int)
                        settings.integer(
                                SECTION, "queue-capacity", DEFAULT_QUEUE_CAPACITY, 1, MAX_CAPACITY);
        mMaxCalls =
                (int) settings.integer(SECTION, "max-calls", DEFAULT_MAX_CALLS, 1, MAX_CAPACITY);
        UpstreamTimeouts defaults = UpstreamTimeouts.DEFAULTS;
        mTimeouts =
                new UpstreamTimeouts(
                        settings.duration(SECTION, "engine-first-byte", defaults.engineFirstByte()),
                        settings.duration(SECTION, "engine-progress", defaults.engineProgress()),
                        settings.duration(SECTION, "plain-first-byte", defaults.plainFirstByte()),
                        settings.duration(SECTION, "plain-progress", defaults.plainProgress()),
                        settings.duration(SECTION, "probe-timeout", defaults.probe()));
    }

    @Override
    public void install(ComponentContext context) {
        Scheduler timers = Schedulers.parallel();
        HttpUpstreamClient client =
                context.closer()
                        .register(
                                "upstream connections",
                                new HttpUpstreamClient(
                                        context.require(InvariantMonitor.class),
                                        mTimeouts.probe(),
                                        timers));
        ExchangeMeters meters = new ExchangeMeters(context.meters());
        DispatchRing ring = new DispatchRing(meters);
        CallDispatcher dispatcher =
                new CallDispatcher(
                        mMaxCalls,
                        context.require(RunningCalls.class),
                        new ExchangeServices(
                                client,
                                mTimeouts,
                                timers,
                                context.time(),
                                meters,
                                context.require(InvariantMonitor.class),
                                ring));
        Inbox<DispatchEvent> inbox =
                context.startDuty(
                        dispatchDuty(context),
                        DispatchRing.capacity(mMaxCalls),
                        OverflowPolicy.REFUSE,
                        dispatcher);
        ring.connect(inbox);
        context.require(ConfigHolder.class)
                .addListener(snapshot -> ring.send(new DispatchEvent.ConfigChanged(snapshot)));
        ClaimGate gate = new ClaimGate(dispatcher);
        context.provide(CallPort.class, gate);
        context.provide(ClaimGate.class, gate);
        context.provide(GenerationPort.class, dispatcher);
        context.provide(CallDrain.class, dispatcher::drain);
        context.provide(DispatchFeed.class, new RingFeed(ring, dispatcher));
    }

    private DispatchDuty dispatchDuty(ComponentContext context) {
        NodeIdentity identity = context.require(NodeIdentity.class);
        return new DispatchDuty(
                DispatchSettings.standard(identity.instance(), identity.failureDomain())
                        .withQueueCapacity(mQueueCapacity),
                context.random("dispatch"),
                context.require(InvariantMonitor.class));
    }
}
