package org.fuchsialever.decisions.membership;

import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;

/** A message between instances. Messages may be lost or repeated. */
public sealed interface PeerMessage {

    /**
     * Heartbeat of an instance, which also gossips reports about other instances.
     *
     * @param sender the sender itself, with its own state and incarnation number
     * @param configVersion the highest configuration version that the sender has seen
     * @param keyVersion the highest version of the keys that the sender has seen
     * @param probe whether the receiver must respond with a heartbeat
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
     * Cost of the requests that the sender has served.
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
     * @param cost decayed number of tokens
     * @param demand number of requests that wait or run
     */
    record Share(PoolName pool, TeamName team, double cost, int demand) {}

    /** Keys that have been withdrawn. */
    record KeyWithdrawals(Set<KeyId> keys) implements PeerMessage {

        /** Copies the set. */
        public KeyWithdrawals {
            keys = Set.copyOf(keys);
        }
    }

    /**
     * Absolute usage totals that the receiver writes to the table if their owner is lost.
     *
     * @param owner the instance that counted them
     * @param start ID of the start of that instance
     * @param window label of the usage window
     * @param sequence number that grows with each handover of this start and window
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

    /** Usage of a team on a route within one window. */
    record UsageTotal(
            TeamName team,
            RouteName route,
            long requests,
            long promptTokens,
            long generatedTokens) {}

    /** Upstreams that finish their work and take no more. */
    record LeavingUpstreams(Set<UpstreamId> upstreams) implements PeerMessage {

        /** Copies the set. */
        public LeavingUpstreams {
            upstreams = Set.copyOf(upstreams);
        }
    }

    /** Versions in the row {@code heads}, sent by an instance that polls it. */
    record ConfigNotice(long configVersion, long keyVersion) implements PeerMessage {}
}
