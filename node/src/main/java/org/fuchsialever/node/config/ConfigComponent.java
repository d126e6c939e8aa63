package org.fuchsialever.node.config;

import java.time.Duration;
import java.util.Set;
import org.fuchsialever.decisions.config.ConfigDuty;
import org.fuchsialever.decisions.config.ConfigEvent;
import org.fuchsialever.decisions.config.ConfigStatus;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.http.Endpoints;
import org.fuchsialever.node.peerstate.PeerStateClient;
import org.fuchsialever.node.peerstate.PeerStateEndpoint;
import org.fuchsialever.services.Platform;

/** Reads the route and pool tables from the table service and applies new versions. */
public final class ConfigComponent implements Component {
    private static final String MSG_BAD_INTERVAL = "config.bad-interval";
    private static final String SECTION = "config";
    private static final String POLL_INTERVAL = "poll-interval";
    private static final int RING_CAPACITY = 1_024;
    private static final Duration DEFAULT_POLL_INTERVAL = Duration.ofSeconds(1);

    private Duration mPollInterval = DEFAULT_POLL_INTERVAL;

    @Override
    public String pluginName() {
        return "config";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(Platform.class, InvariantMonitor.class, NodeIdentity.class, Endpoints.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(ConfigHolder.class, ConfigFeed.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        mPollInterval = settings.duration(SECTION, POLL_INTERVAL, DEFAULT_POLL_INTERVAL);
        if (mPollInterval.isZero()) {
            settings.findings()
                    .error(
                            settings.location(SECTION, POLL_INTERVAL),
                            MSG_BAD_INTERVAL,
                            "the interval must be above zero");
        }
    }

    @Override
    public void install(ComponentContext context) {
        Platform platform = context.require(Platform.class);
        NodeIdentity identity = context.require(NodeIdentity.class);
        InvariantMonitor invariants = context.require(InvariantMonitor.class);
        ConfigHolder holder = new ConfigHolder(invariants);
        holder.publishStatus(ConfigStatus.NONE);
        ConfigActions actions =
                new ConfigActions(
                        platform.tables(),
                        new PeerStateClient(platform.instances(), identity.instance()),
                        holder,
                        identity.startId(),
                        context.meters());
        context.require(Endpoints.class)
                .add(
                        new PeerStateEndpoint(
                                ConfigActions.PEER_STATE_PATH,
                                platform.instances(),
                                actions::servedText));
        Inbox<ConfigEvent> inbox =
                context.startDuty(
                        new ConfigDuty(mPollInterval, context.time().nanoTime(), invariants),
                        RING_CAPACITY,
                        OverflowPolicy.REFUSE,
                        actions);
        actions.connect(inbox);
        context.provide(ConfigHolder.class, holder);
        context.provide(
                ConfigFeed.class, version -> inbox.offer(new ConfigEvent.PeerVersion(version)));
    }
}
