package org.fuchsialever.node.exchange;

import java.util.List;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.keys.KeyFeed;
import org.fuchsialever.node.peers.PeerMessages;

/**
 * Reports the number of reachable instances to the key duty, and the versions that this instance
 * has to the other instances.
 */
final class MembershipReporter {
    private final PeerMessages peers;
    private final KeyFeed keys;
    private final ConfigHolder config;

    MembershipReporter(PeerMessages peers, KeyFeed keys, ConfigHolder config) {
        this.peers = peers;
        this.keys = keys;
        this.config = config;
    }

    void report() {
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
