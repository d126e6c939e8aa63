package org.fuchsialever.node.keys;

import java.time.Duration;
import java.util.Set;
import java.util.function.Consumer;
import org.fuchsialever.decisions.keys.KeyDuty;
import org.fuchsialever.decisions.keys.KeyEvent;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.frontend.Authenticator;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.http.Endpoints;
import org.fuchsialever.node.http.Readiness;
import org.fuchsialever.node.peerstate.PeerStateClient;
import org.fuchsialever.node.peerstate.PeerStateEndpoint;
import org.fuchsialever.services.Platform;

/** Authenticates callers by the keys in the table service and ends calls of withdrawn keys. */
public final class KeysComponent implements Component {
    private static final String MSG_BAD_BOUND = "keys.bad-bound";
    private static final String SECTION = "keys";
    private static final String POLL_INTERVAL = "poll-interval";
    private static final String FRESHNESS_BOUND = "key-freshness-bound";
    private static final int RING_CAPACITY = 1_024;
    private static final Duration DEFAULT_POLL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration DEFAULT_FRESHNESS_BOUND = Duration.ofSeconds(5);

    private Duration mPollInterval = DEFAULT_POLL_INTERVAL;
    private Duration mFreshnessBound = DEFAULT_FRESHNESS_BOUND;

    @Override
    public String pluginName() {
        return "keys";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                Platform.class,
                InvariantMonitor.class,
                NodeIdentity.class,
                ConfigHolder.class,
                Readiness.class,
                Endpoints.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(Authenticator.class, RunningCalls.class, KeyFeed.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        mPollInterval = settings.duration(SECTION, POLL_INTERVAL, DEFAULT_POLL_INTERVAL);
        mFreshnessBound = settings.duration(SECTION, FRESHNESS_BOUND, DEFAULT_FRESHNESS_BOUND);
        if (mPollInterval.isZero() || mFreshnessBound.compareTo(mPollInterval) <= 0) {
            settings.findings()
                    .error(
                            settings.location(SECTION, FRESHNESS_BOUND),
                            MSG_BAD_BOUND,
                            "the bound must be above %s, and %s above zero",
                            POLL_INTERVAL,
                            POLL_INTERVAL);
        }
    }

    @Override
    public void install(ComponentContext context) {
        Platform platform = context.require(Platform.class);
        NodeIdentity identity = context.require(NodeIdentity.class);
        KeyViews views = new KeyViews();
        KeyActions actions =
                new KeyActions(
                        platform.tables(),
                        new PeerStateClient(platform.instances(), identity.instance()),
                        views,
                        identity.startId(),
                        context.time(),
                        context.meters());
        Inbox<KeyEvent> inbox =
                context.startDuty(
                        new KeyDuty(
                                mPollInterval,
                                mFreshnessBound,
                                context.time().nanoTime(),
                                context.require(InvariantMonitor.class)),
                        RING_CAPACITY,
                        OverflowPolicy.REFUSE,
                        actions);
        actions.connect(inbox);
        Readiness readiness = context.require(Readiness.class);
        readiness.addCondition("keys", () -> views.current().usable());
        addEndpoints(context, views, actions, inbox);
        context.provide(Authenticator.class, new KeyAuthenticator(views::current, context.time()));
        context.provide(RunningCalls.class, views);
        context.provide(KeyFeed.class, new Feed(inbox, views, actions));
    }

    private static void addEndpoints(
            ComponentContext context, KeyViews views, KeyActions actions, Inbox<KeyEvent> inbox) {
        NodeIdentity identity = context.require(NodeIdentity.class);
        Endpoints endpoints = context.require(Endpoints.class);
        endpoints.add(
                new WithdrawalEndpoint(
                        identity.instance(),
                        views,
                        key -> inbox.offer(new KeyEvent.OperatorWithdrawal(key))));
        endpoints.add(
                new StatusEndpoint(
                        identity,
                        context.require(ConfigHolder.class),
                        views,
                        context.require(Readiness.class)));
        endpoints.add(
                new PeerStateEndpoint(
                        KeyActions.PEER_STATE_PATH,
                        context.require(Platform.class).instances(),
                        actions::peerState));
    }

    private record Feed(Inbox<KeyEvent> inbox, KeyViews views, KeyActions actions)
            implements KeyFeed {

        @Override
        public void onPeerWithdrawals(Set<KeyId> keys) {
            inbox.offer(new KeyEvent.PeerWithdrawals(keys));
        }

        @Override
        public void onMembershipChanged(int listed, int reachable) {
            inbox.offer(new KeyEvent.MembershipChanged(listed, reachable));
        }

        @Override
        public void addWithdrawalListener(Consumer<Set<KeyId>> listener) {
            actions.addListener(listener);
        }

        @Override
        public long keyVersion() {
            return views.current().version();
        }
    }
}
