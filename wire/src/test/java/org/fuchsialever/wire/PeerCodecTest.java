package org.fuchsialever.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against values that are lost or changed by encoding and decoding. */
class PeerCodecTest {

    private static Member member(int number, MemberState state) {
        return new Member(
                new InstanceId("node-" + number),
                "region-1",
                new FailureDomain("fd-1"),
                number,
                state);
    }

    private static PeerMessage.Heartbeat heartbeat(int changes) {
        return new PeerMessage.Heartbeat(
                member(0, MemberState.LEAVING),
                13_000,
                77,
                true,
                IntStream.range(1, changes + 1)
                        .mapToObj(i -> member(i, MemberState.values()[i % 4]))
                        .toList());
    }

    static Stream<PeerMessage> messages() {
        return Stream.of(
                heartbeat(5),
                new PeerMessage.ShareCounters(
                        List.of(
                                new PeerMessage.Share(
                                        new PoolName("small"), new TeamName("alba"), 12.5, 7))),
                new PeerMessage.KeyWithdrawals(Set.of(new KeyId("k1"), new KeyId("k2"))),
                new PeerMessage.UsageHandover(
                        new InstanceId("node-1"),
                        "start-1",
                        "2026-12-04T07",
                        9,
                        List.of(
                                new PeerMessage.UsageTotal(
                                        new TeamName("alba"), new RouteName("chat"), 1, 2, 3))),
                new PeerMessage.LeavingUpstreams(Set.of(new UpstreamId("engine-1"))),
                new PeerMessage.ConfigNotice(5, 6));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void aDecodedMessageEqualsTheEncodedOne(PeerMessage message) {
        assertThat(PeerCodec.decode(PeerCodec.encode(message)).get(), equalTo(message));
    }

    @Test
    void aHeartbeatWithAllItsChangesStaysBelow300Bytes() {
        assertThat(PeerCodec.encode(heartbeat(6)).length, lessThan(300));
    }

    @Test
    void bytesThatAreNotAMessageAreRejectedWithAReason() {
        byte[] badName =
                PeerProtocol.Envelope.newBuilder()
                        .setKeyWithdrawals(
                                PeerProtocol.KeyWithdrawals.newBuilder().addKeys("no name"))
                        .build()
                        .toByteArray();
        assertThat(PeerCodec.decode(new byte[] {1, 2, 3}).getLeft(), equalTo("malformed"));
        assertThat(PeerCodec.decode(badName).getLeft(), equalTo("malformed"));
        assertThat(PeerCodec.decode(new byte[0]).getLeft(), equalTo("unknown-kind"));
    }
}
