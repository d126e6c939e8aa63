package org.fuchsialever.node.peers;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.decisions.membership.MemberState;
import org.fuchsialever.decisions.membership.MembershipAction;
import org.fuchsialever.decisions.membership.MembershipDuty;
import org.fuchsialever.decisions.membership.MembershipEvent;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.membership.PeerRotation;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.services.InstanceList;
import org.fuchsialever.services.ListedInstance;
import org.fuchsialever.wire.PeerTransport;
import org.fuchsialever.wire.PeerTransportLimits;

/** Joins the membership duty, the transport and the platform's list of instances. */
final class PeerService implements PeerMessages, ActionSink<MembershipAction> {
    private static final PartLogger LOG = PartLogger.of("peers");
    private static final int RING_CAPACITY = 1_024;
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);

    private final InstanceId self;
    private final InstanceList instances;
    private final MeterRegistry meters;
    private final PeerTransport transport;
    private final PeerRotation rotation;
    private final Map<Class<?>, List<Handler<PeerMessage>>> handlers = new ConcurrentHashMap<>();
    private volatile MembershipAction.ViewChanged view =
            new MembershipAction.ViewChanged(List.of(), false);

    /** The duty runs before its inbox is known here; its next read of the list follows in 1 s. */
    private volatile ActionSink<MembershipEvent> duty = event -> count("not-started");

    /** Creates a service whose transport does not listen yet. */
    PeerService(ComponentContext context, NodeIdentity identity, InstanceList instances) {
        this.self = identity.instance();
        this.instances = instances;
        this.meters = context.meters();
        this.rotation = new PeerRotation(identity.region(), context.random("gossip"));
        this.transport =
                context.closer()
                        .register(
                                "peer transport",
                                new PeerTransport(
                                        self,
                                        PeerTransportLimits.defaults(),
                                        this::received,
                                        meters,
                                        context.random("peer-transport")));
        Member member =
                new Member(self, identity.region(), identity.failureDomain(), 1, MemberState.ALIVE);
        Inbox<MembershipEvent> inbox =
                context.startDuty(
                        new MembershipDuty(
                                member, context.random("membership"), context.time().nanoTime()),
                        RING_CAPACITY,
                        OverflowPolicy.DROP_OLDEST,
                        this);
        duty = inbox::offer;
    }

    /** Starts listening and returns the port in use. */
    int listen(String address, int port) {
        return transport.listen(address, port);
    }

    @Override
    public boolean send(InstanceId receiver, PeerMessage message) {
        boolean known =
                view.members().stream().anyMatch(member -> member.instance().equals(receiver));
        if (known) {
            transport.send(receiver, message);
        } else {
            count("unknown-receiver");
        }
        return known;
    }

    @Override
    public void broadcast(PeerMessage message) {
        view.members().forEach(member -> transport.send(member.instance(), message));
    }

    @Override
    public void gossip(PeerMessage message) {
        List<InstanceId> chosen;
        synchronized (rotation) {
            chosen = rotation.next(view.members());
        }
        chosen.forEach(receiver -> transport.send(receiver, message));
    }

    @Override
    public <M extends PeerMessage> void subscribe(Class<M> type, Handler<M> handler) {
        handlers.computeIfAbsent(type, key -> new CopyOnWriteArrayList<>())
                .add((sender, message) -> handler.onMessage(sender, type.cast(message)));
    }

    @Override
    public List<Member> members() {
        return view.members();
    }

    @Override
    public boolean isIsolated() {
        return view.isolated();
    }

    @Override
    public void announceVersions(long configVersion, long keyVersion) {
        duty.emit(new MembershipEvent.VersionsChanged(configVersion, keyVersion));
    }

    @Override
    public void leave() {
        duty.emit(new MembershipEvent.LeaveRequested());
    }

    @Override
    public void emit(MembershipAction action) {
        if (action instanceof MembershipAction.SendHeartbeat send) {
            transport.send(send.receiver(), send.heartbeat());
        } else if (action instanceof MembershipAction.ViewChanged changed) {
            if (changed.isolated() && !view.isolated()) {
                LOG.warning("More than half of the peers that were tried do not answer.");
            }
            view = changed;
        } else if (action instanceof MembershipAction.ReadInstances) {
            instances
                    .list()
                    .timeout(LIST_TIMEOUT)
                    .subscribe(this::listed, failure -> count("instance-list-failed"));
        }
    }

    private void listed(List<ListedInstance> list) {
        Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();
        for (ListedInstance listed : list) {
            if (!listed.instance().equals(self)) {
                addresses.put(
                        listed.instance(),
                        new InetSocketAddress(listed.address(), listed.peerPort()));
            }
        }
        transport.updateAddresses(addresses);
        duty.emit(
                new MembershipEvent.InstancesListed(
                        list.stream().map(PeerService::member).toList()));
    }

    private static Member member(ListedInstance listed) {
        return new Member(
                listed.instance(),
                listed.region(),
                listed.domain(),
                0,
                listed.leaving() ? MemberState.LEAVING : MemberState.ALIVE);
    }

    private void received(InstanceId sender, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            if (!heartbeat.sender().instance().equals(sender)) {
                count("wrong-sender");
                return;
            }
            duty.emit(new MembershipEvent.HeartbeatReceived(heartbeat));
        }
        for (Handler<PeerMessage> handler : handlers.getOrDefault(message.getClass(), List.of())) {
            try {
                handler.onMessage(sender, message);
            } catch (RuntimeException e) {
                count("handler-failed");
                LOG.error("Message from " + sender + " could not be handled.", e);
            }
        }
    }

    private void count(String reason) {
        Counter.builder("fuchsialever.peers.refusals")
                .tag("reason", reason)
                .register(meters)
                .increment();
    }
}
