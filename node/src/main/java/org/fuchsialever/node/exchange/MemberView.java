package org.fuchsialever.node.exchange;

import java.util.List;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.keys.KeyFeed;
import org.fuchsialever.node.peers.PeerMessages;

/** Tells the key duty how many instances answer, and the other instances what is known here. */
final class MemberView {
    private final PeerMessages peers;
    private final KeyFeed keys;
    private final ConfigHolder config;

    MemberView(PeerMessages peers, KeyFeed keys, ConfigHolder config) {
        this.peers = peers;
        this.keys = keys;
        this.config = config;
    }

    void update() {
        List<Member> members = peers.members();
        int listed = 0;
        int reachable = 0;
        for (Member member : members) {
            listed += member.state().isListed() ? 1 : 0;
            reachable += member.state().isListed() && member.state().isReachable() ? 1 : 0;
        }
        // Both counts include this instance.
        keys.onMembershipChanged(listed + 1, reachable + 1);
        long configVersion = config.current().map(snapshot -> snapshot.version()).getOrElse(0L);
        peers.announceVersions(configVersion, keys.keyVersion());
    }
}
