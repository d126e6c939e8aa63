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

/** Connects the membership duty, the transport and the platform's list of instances. */
final class PeerService implements PeerMessages, ActionSink<MembershipAction> {
    private static final PartLogger LOG = PartLogger.of("peers");
    private static final int RING_CAPACITY = 1_024;
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);

    private final InstanceId mSelf;
    private final InstanceList mInstances;
    private final MeterRegistry mMeters;
    private final PeerTransport mTransport;
    private final PeerRotation mRotation;
    private final Map<Class<?>, List<Handler<PeerMessage>>> mHandlers = new ConcurrentHashMap<>();
    private volatile MembershipAction.ViewChanged mView =
            new MembershipAction.ViewChanged(List.of(), false);

    /**
     * Events that arrive before the inbox is known are counted and dropped; the duty reads the list
     * of instances again within 1 s.
     */
    private volatile ActionSink<MembershipEvent> mDuty = event -> count("not-started");

    /** Creates a service; its transport listens only after {@link #listen}. */
    PeerService(ComponentContext context, NodeIdentity identity, InstanceList instances) {
        mSelf = identity.instance();
        mInstances = instances;
        mMeters = context.meters();
        mRotation = new PeerRotation(identity.region(), context.random("gossip"));
        mTransport =
                context.closer()
                        .register(
                                "peer transport",
                                new PeerTransport(
                                        mSelf,
                                        PeerTransportLimits.defaults(),
                                        this::onMessage,
                                        mMeters,
                                        context.random("peer-transport")));
        Member member =
                new Member(
                        mSelf, identity.region(), identity.failureDomain(), 1, MemberState.ALIVE);
        Inbox<MembershipEvent> inbox =
                context.startDuty(
                        new MembershipDuty(
                                member, context.random("membership"), context.time().nanoTime()),
                        RING_CAPACITY,
                        OverflowPolicy.DROP_OLDEST,
                        this);
        mDuty = inbox::offer;
    }

    /** Starts listening and returns the bound port; port 0 selects a free one. */
    int listen(String address, int port) {
        return mTransport.listen(address, port);
    }

    @Override
    public boolean send(InstanceId receiver, PeerMessage message) {
        boolean known =
                mView.members().stream().anyMatch(member -> member.instance().equals(receiver));
        if (known) {
            mTransport.send(receiver, message);
        } else {
            count("unknown-receiver");
        }
        return known;
    }

    @Override
    public void broadcast(PeerMessage message) {
        mView.members().forEach(member -> mTransport.send(member.instance(), message));
    }

    @Override
    public void gossip(PeerMessage message) {
        List<InstanceId> chosen;
        synchronized (mRotation) {
            chosen = mRotation.next(mView.members());
        }
        chosen.forEach(receiver -> mTransport.send(receiver, message));
    }

    @Override
    public <M extends PeerMessage> void subscribe(Class<M> type, Handler<M> handler) {
        mHandlers
                .computeIfAbsent(type, key -> new CopyOnWriteArrayList<>())
                .add((sender, message) -> handler.onMessage(sender, type.cast(message)));
    }

    @Override
    public List<Member> members() {
        return mView.members();
    }

    @Override
    public boolean isIsolated() {
        return mView.isolated();
    }

    @Override
    public void announceVersions(long configVersion, long keyVersion) {
        mDuty.emit(new MembershipEvent.VersionsChanged(configVersion, keyVersion));
    }

    @Override
    public void leave() {
        mDuty.emit(new MembershipEvent.LeaveRequested());
    }

    @Override
    public void emit(MembershipAction action) {
        if (action instanceof MembershipAction.SendHeartbeat send) {
            mTransport.send(send.receiver(), send.heartbeat());
        } else if (action instanceof MembershipAction.ViewChanged changed) {
            if (changed.isolated() && !mView.isolated()) {
                LOG.warning("More than half of the contacted peers do not respond.");
            }
            mView = changed;
        } else if (action instanceof MembershipAction.ReadInstances) {
            mInstances
                    .list()
                    .timeout(LIST_TIMEOUT)
                    .subscribe(this::onInstancesListed, failure -> count("instance-list-failed"));
        }
    }

    private void onInstancesListed(List<ListedInstance> list) {
        Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();
        for (ListedInstance listed : list) {
            if (!listed.instance().equals(mSelf)) {
                addresses.put(
                        listed.instance(),
                        new InetSocketAddress(listed.address(), listed.peerPort()));
            }
        }
        mTransport.updateAddresses(addresses);
        mDuty.emit(
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

    private void onMessage(InstanceId sender, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            if (!heartbeat.sender().instance().equals(sender)) {
                count("wrong-sender");
                return;
            }
            mDuty.emit(new MembershipEvent.HeartbeatReceived(heartbeat));
        }
        for (Handler<PeerMessage> handler : mHandlers.getOrDefault(message.getClass(), List.of())) {
            try {
                handler.onMessage(sender, message);
            } catch (RuntimeException e) {
                count("handler-failed");
                LOG.error("Handler failed for a message from " + sender + ".", e);
            }
        }
    }

    private void count(String reason) {
        Counter.builder("fuchsialever.peers.refusals")
                .tag("reason", reason)
                .register(mMeters)
                .increment();
    }
}
