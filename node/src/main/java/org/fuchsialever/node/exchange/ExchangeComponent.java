package org.fuchsialever.node.exchange;

import java.time.Duration;
import java.util.Set;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.config.ConfigFeed;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.dispatch.DispatchFeed;
import org.fuchsialever.node.keys.KeyFeed;
import org.fuchsialever.node.orders.LeavingUpstreamPublisher;
import org.fuchsialever.node.peers.PeerMessages;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/**
 * Passes withdrawals, versions, shares and leaving upstreams between this instance and the others.
 */
public final class ExchangeComponent implements Component {
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    @Override
    public String pluginName() {
        return "exchange";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                NodeIdentity.class,
                PeerMessages.class,
                KeyFeed.class,
                ConfigFeed.class,
                ConfigHolder.class,
                DispatchFeed.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(LeavingUpstreamPublisher.class);
    }

    @Override
    public void install(ComponentContext context) {
        PeerMessages peers = context.require(PeerMessages.class);
        KeyFeed keys = context.require(KeyFeed.class);
        ConfigFeed config = context.require(ConfigFeed.class);
        ConfigHolder holder = context.require(ConfigHolder.class);
        DispatchFeed dispatch = context.require(DispatchFeed.class);

        peers.subscribe(
                PeerMessage.KeyWithdrawals.class,
                (sender, message) -> keys.onPeerWithdrawals(message.keys()));
        keys.addWithdrawalListener(
                withdrawn -> peers.broadcast(new PeerMessage.KeyWithdrawals(withdrawn)));
        peers.subscribe(
                PeerMessage.Heartbeat.class,
                (sender, message) -> config.onPeerVersion(message.configVersion()));

        peers.subscribe(
                PeerMessage.LeavingUpstreams.class,
                (sender, message) ->
                        message.upstreams()
                                .forEach(
                                        upstream ->
                                                dispatch.report(
                                                        new DispatchEvent.UpstreamLeaving(
                                                                upstream))));
        LeavingUpstreamPublisher leaving =
                upstreams -> peers.broadcast(new PeerMessage.LeavingUpstreams(upstreams));
        context.provide(LeavingUpstreamPublisher.class, leaving);

        NodeIdentity identity = context.require(NodeIdentity.class);
        ShareExchange shares = new ShareExchange(peers, dispatch, identity.failureDomain());
        peers.subscribe(PeerMessage.ShareCounters.class, shares::receive);
        dispatch.addShareListener(shares::publish);

        MemberView view = new MemberView(peers, keys, holder);
        Disposable timer = Flux.interval(Duration.ZERO, INTERVAL).subscribe(tick -> view.update());
        context.closer().register("member view", timer::dispose);
    }
}
