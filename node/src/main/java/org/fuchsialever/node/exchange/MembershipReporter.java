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
    private final PeerMessages mPeers;
    private final KeyFeed mKeys;
    private final ConfigHolder mConfig;

    MembershipReporter(PeerMessages peers, KeyFeed keys, ConfigHolder config) {
        mPeers = peers;
        mKeys = keys;
        mConfig = config;
    }

    void report() {
        List<Member> members = mPeers.members();
        int listed = 0;
        int reachable = 0;
        for (Member member : members) {
            listed += member.state().isListed() ? 1 : 0;
            reachable += member.state().isListed() && member.state().isReachable() ? 1 : 0;
        }
        // Both counts include this instance.
        mKeys.onMembershipChanged(listed + 1, reachable + 1);
        long configVersion = mConfig.current().map(snapshot -> snapshot.version()).getOrElse(0L);
        mPeers.announceVersions(configVersion, mKeys.keyVersion());
    }
}
