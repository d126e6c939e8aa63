package org.fuchsialever.decisions.membership;

import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;

/** A message between instances. Delivery is not guaranteed and messages may be repeated. */
public sealed interface PeerMessage {

    /**
     * Sign of life of an instance.
     *
     * @param sender the sender itself, with its own state and incarnation number
     * @param configVersion the highest configuration version that it has seen
     * @param keyVersion the highest version of the keys that it has seen
     * @param probe whether the receiver answers with a heartbeat of its own
     * @param changes recent reports about other instances
     */
    record Heartbeat(
            Member sender, long configVersion, long keyVersion, boolean probe, List<Member> changes)
            implements PeerMessage {

        /** Copies the list. */
        public Heartbeat {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Cost that the sender has served.
     *
     * @param shares decayed totals by pool and team
     */
    record ShareCounters(List<Share> shares) implements PeerMessage {

        /** Copies the list. */
        public ShareCounters {
            shares = List.copyOf(shares);
        }
    }

    /**
     * Cost served to a team in a pool.
     *
     * @param pool the pool
     * @param team the team
     * @param cost tokens, decayed
     */
    record Share(PoolName pool, TeamName team, double cost) {}

    /**
     * Keys that have been withdrawn.
     *
     * @param keys their identities
     */
    record KeyWithdrawals(Set<KeyId> keys) implements PeerMessage {

        /** Copies the set. */
        public KeyWithdrawals {
            keys = Set.copyOf(keys);
        }
    }

    /**
     * Absolute usage totals that the receiver writes if their owner is lost.
     *
     * @param owner the instance that counted them
     * @param start identity of the start of that instance
     * @param window identity of the usage window
     * @param sequence number that grows with each hand-over of this start and window
     * @param totals all totals of the window so far
     */
    record UsageHandover(
            InstanceId owner, String start, String window, long sequence, List<UsageTotal> totals)
            implements PeerMessage {

        /** Copies the list. */
        public UsageHandover {
            totals = List.copyOf(totals);
        }
    }

    /**
     * Usage of a team on a route within one window.
     *
     * @param team the team
     * @param route the route
     * @param requests number of requests
     * @param promptTokens number of prompt tokens
     * @param generatedTokens number of generated tokens
     */
    record UsageTotal(
            TeamName team,
            RouteName route,
            long requests,
            long promptTokens,
            long generatedTokens) {}

    /**
     * Upstreams that are leaving.
     *
     * @param upstreams their names
     */
    record LeavingUpstreams(Set<UpstreamId> upstreams) implements PeerMessage {

        /** Copies the set. */
        public LeavingUpstreams {
            upstreams = Set.copyOf(upstreams);
        }
    }

    /**
     * Versions in the row {@code heads}, from an instance that polls it.
     *
     * @param configVersion the configuration version
     * @param keyVersion the version of the keys
     */
    record ConfigNotice(long configVersion, long keyVersion) implements PeerMessage {}
}
