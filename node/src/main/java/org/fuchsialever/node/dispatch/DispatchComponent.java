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
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.upstream.HttpUpstreamClient;

/** Runs the dispatch duty and carries out calls. */
public final class DispatchComponent implements Component {
    private static final String SECTION = "limits";
    private static final int DEFAULT_QUEUE_CAPACITY = 1_024;
    private static final int DEFAULT_MAX_CALLS = 4_096;
    private static final int MAX_CAPACITY = 1_000_000;
    private static final int EVENTS_PER_CALL = 4;

    private int queueCapacity;
    private int maxCalls;

    @Override
    public String pluginName() {
        return "dispatch";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(ConfigHolder.class, NodeIdentity.class, InvariantMonitor.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(CallPort.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        queueCapacity =
                (int)
                        settings.integer(
                                SECTION, "queue-capacity", DEFAULT_QUEUE_CAPACITY, 1, MAX_CAPACITY);
        maxCalls = (int) settings.integer(SECTION, "max-calls", DEFAULT_MAX_CALLS, 1, MAX_CAPACITY);
    }

    @Override
    public void install(ComponentContext context) {
        HttpUpstreamClient client =
                context.closer().register("upstream connections", new HttpUpstreamClient());
        CallDispatcher dispatcher =
                new CallDispatcher(maxCalls, client, context.time(), context.meters());
        NodeIdentity identity = context.require(NodeIdentity.class);
        InvariantMonitor invariants = context.require(InvariantMonitor.class);
        DispatchSettings settings =
                DispatchSettings.standard(identity.instance(), identity.domain())
                        .withQueueCapacity(queueCapacity);
        Inbox<DispatchEvent> inbox =
                context.startDuty(
                        new DispatchDuty(settings, context.random("dispatch"), invariants),
                        maxCalls * EVENTS_PER_CALL,
                        OverflowPolicy.REFUSE,
                        dispatcher);
        dispatcher.connect(inbox);
        context.require(ConfigHolder.class)
                .onChange(snapshot -> inbox.offer(new DispatchEvent.ConfigChanged(snapshot)));
        context.provide(CallPort.class, dispatcher);
    }
}
