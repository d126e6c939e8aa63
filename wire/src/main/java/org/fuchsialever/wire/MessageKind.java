package org.fuchsialever.wire;

import java.util.stream.Collectors;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.decisions.membership.MemberState;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.wire.generated.PeerProtocol;
import org.fuchsialever.wire.generated.PeerProtocol.Envelope;
import org.fuchsialever.wire.generated.PeerProtocol.Envelope.ContentCase;

/** Kinds of messages with the mapping between their types and protobuf. */
enum MessageKind {
    HEARTBEAT(ContentCase.HEARTBEAT, PeerMessage.Heartbeat.class) {
        @Override
        void encode(PeerMessage message, Envelope.Builder envelope) {
            PeerMessage.Heartbeat heartbeat = (PeerMessage.Heartbeat) message;
            PeerProtocol.Heartbeat.Builder builder =
                    envelope.getHeartbeatBuilder()
                            .setSender(encodeMember(heartbeat.sender()))
                            .setConfigVersion(heartbeat.configVersion())
                            .setKeyVersion(heartbeat.keyVersion())
                            .setProbe(heartbeat.probe());
            heartbeat.changes().forEach(change -> builder.addChanges(encodeMember(change)));
        }

        @Override
        PeerMessage decode(Envelope envelope) {
            PeerProtocol.Heartbeat heartbeat = envelope.getHeartbeat();
            return new PeerMessage.Heartbeat(
                    decodeMember(heartbeat.getSender()),
                    heartbeat.getConfigVersion(),
                    heartbeat.getKeyVersion(),
                    heartbeat.getProbe(),
                    heartbeat.getChangesList().stream().map(MessageKind::decodeMember).toList());
        }
    },
    SHARE_COUNTERS(ContentCase.SHARE_COUNTERS, PeerMessage.ShareCounters.class) {
        @Override
        void encode(PeerMessage message, Envelope.Builder envelope) {
            PeerProtocol.ShareCounters.Builder builder = envelope.getShareCountersBuilder();
            for (PeerMessage.Share share : ((PeerMessage.ShareCounters) message).shares()) {
                builder.addSharesBuilder()
                        .setPool(share.pool().value())
                        .setTeam(share.team().value())
                        .setCost(share.cost())
                        .setDemand(share.demand());
            }
        }

        @Override
        PeerMessage decode(Envelope envelope) {
            return new PeerMessage.ShareCounters(
                    envelope.getShareCounters().getSharesList().stream()
                            .map(
                                    share ->
                                            new PeerMessage.Share(
                                                    new PoolName(share.getPool()),
                                                    new TeamName(share.getTeam()),
                                                    share.getCost(),
                                                    share.getDemand()))
                            .toList());
        }
    },
    KEY_WITHDRAWALS(ContentCase.KEY_WITHDRAWALS, PeerMessage.KeyWithdrawals.class) {
        @Override
        void encode(PeerMessage message, Envelope.Builder envelope) {
            PeerProtocol.KeyWithdrawals.Builder builder = envelope.getKeyWithdrawalsBuilder();
            ((PeerMessage.KeyWithdrawals) message)
                    .keys()
                    .forEach(key -> builder.addKeys(key.value()));
        }

        @Override
        PeerMessage decode(Envelope envelope) {
            return new PeerMessage.KeyWithdrawals(
                    envelope.getKeyWithdrawals().getKeysList().stream()
                            .map(KeyId::new)
                            .collect(Collectors.toSet()));
        }
    },
    USAGE_HANDOVER(ContentCase.USAGE_HANDOVER, PeerMessage.UsageHandover.class) {
        @Override
        void encode(PeerMessage message, Envelope.Builder envelope) {
            PeerMessage.UsageHandover handover = (PeerMessage.UsageHandover) message;
            PeerProtocol.UsageHandover.Builder builder =
                    envelope.getUsageHandoverBuilder()
                            .setOwner(handover.owner().value())
                            .setStart(handover.start())
                            .setWindow(handover.window())
                            .setSequence(handover.sequence());
            for (PeerMessage.UsageTotal total : handover.totals()) {
                builder.addTotalsBuilder()
                        .setTeam(total.team().value())
                        .setRoute(total.route().value())
                        .setRequests(total.requests())
                        .setPromptTokens(total.promptTokens())
                        .setGeneratedTokens(total.generatedTokens());
            }
        }

        @Override
        PeerMessage decode(Envelope envelope) {
            PeerProtocol.UsageHandover handover = envelope.getUsageHandover();
            return new PeerMessage.UsageHandover(
                    new InstanceId(handover.getOwner()),
                    handover.getStart(),
                    handover.getWindow(),
                    handover.getSequence(),
                    handover.getTotalsList().stream().map(MessageKind::decodeTotal).toList());
        }
    },
    LEAVING_UPSTREAMS(ContentCase.LEAVING_UPSTREAMS, PeerMessage.LeavingUpstreams.class) {
        @Override
        void encode(PeerMessage message, Envelope.Builder envelope) {
            PeerProtocol.LeavingUpstreams.Builder builder = envelope.getLeavingUpstreamsBuilder();
            ((PeerMessage.LeavingUpstreams) message)
                    .upstreams()
                    .forEach(upstream -> builder.addUpstreams(upstream.value()));
        }

        @Override
        PeerMessage decode(Envelope envelope) {
            return new PeerMessage.LeavingUpstreams(
                    envelope.getLeavingUpstreams().getUpstreamsList().stream()
                            .map(UpstreamId::new)
                            .collect(Collectors.toSet()));
        }
    },
    CONFIG_NOTICE(ContentCase.CONFIG_NOTICE, PeerMessage.ConfigNotice.class) {
        @Override
        void encode(PeerMessage message, Envelope.Builder envelope) {
            PeerMessage.ConfigNotice notice = (PeerMessage.ConfigNotice) message;
            envelope.getConfigNoticeBuilder()
                    .setConfigVersion(notice.configVersion())
                    .setKeyVersion(notice.keyVersion());
        }

        @Override
        PeerMessage decode(Envelope envelope) {
            PeerProtocol.ConfigNotice notice = envelope.getConfigNotice();
            return new PeerMessage.ConfigNotice(notice.getConfigVersion(), notice.getKeyVersion());
        }
    };

    private final ContentCase mContent;
    private final Class<? extends PeerMessage> mType;

    MessageKind(ContentCase content, Class<? extends PeerMessage> type) {
        mContent = content;
        mType = type;
    }

    abstract void encode(PeerMessage message, Envelope.Builder envelope);

    /**
     * Decodes the content of an envelope.
     *
     * @throws IllegalArgumentException if it contains an invalid name or member state
     */
    abstract PeerMessage decode(Envelope envelope);

    boolean isOf(PeerMessage message) {
        return mType.isInstance(message);
    }

    boolean isOf(ContentCase other) {
        return mContent == other;
    }

    private static PeerProtocol.MemberReport encodeMember(Member member) {
        return PeerProtocol.MemberReport.newBuilder()
                .setInstance(member.instance().value())
                .setRegion(member.region())
                .setFailureDomain(member.domain().value())
                .setIncarnation(member.incarnation())
                .setStateValue(member.state().ordinal())
                .build();
    }

    private static Member decodeMember(PeerProtocol.MemberReport report) {
        MemberState[] states = MemberState.values();
        int state = report.getStateValue();
        if (state < 0 || state >= states.length) {
            throw new IllegalArgumentException("unknown member state " + state);
        }
        return new Member(
                new InstanceId(report.getInstance()),
                report.getRegion(),
                new FailureDomain(report.getFailureDomain()),
                report.getIncarnation(),
                states[state]);
    }

    private static PeerMessage.UsageTotal decodeTotal(PeerProtocol.UsageTotal total) {
        return new PeerMessage.UsageTotal(
                new TeamName(total.getTeam()),
                new RouteName(total.getRoute()),
                total.getRequests(),
                total.getPromptTokens(),
                total.getGeneratedTokens());
    }
}
