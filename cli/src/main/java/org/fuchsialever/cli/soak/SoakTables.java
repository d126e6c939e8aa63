package org.fuchsialever.cli.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.fuchsialever.decisions.model.UpstreamId;

/** The tables of a run as operators write them. */
final class SoakTables {
    static final int TEAMS = 3;
    private static final int UPSTREAMS_PER_POOL = 4;

    private final List<UpstreamId> mEngines = new ArrayList<>();
    private final List<UpstreamId> mDesks = new ArrayList<>();
    private final Set<UpstreamId> mLeaving = new TreeSet<>();
    private int mSequence;
    private int mWeight = 1;

    SoakTables() {
        for (int i = 0; i < UPSTREAMS_PER_POOL; i++) {
            mEngines.add(newId("engine"));
            mDesks.add(newId("desk"));
        }
    }

    List<UpstreamId> upstreams() {
        List<UpstreamId> all = new ArrayList<>(mEngines);
        all.addAll(mDesks);
        return all;
    }

    String routes() {
        StringBuilder text = new StringBuilder();
        for (int team = 0; team < TEAMS; team++) {
            text.append("[team team-%d]\nweight = %d\n".formatted(team, team == 0 ? mWeight : 1));
        }
        return text.append(route("live", "live", "engines", "yes"))
                .append(route("plain", "plain", "desks", "no"))
                .append(route("rollouts", "rollout", "engines", "yes"))
                .toString();
    }

    String pools() {
        return pool("engines", "kind = engine\nmodel = m\nbalancing = scored\n", mEngines)
                + pool("desks", "kind = plain\n", mDesks);
    }

    void changeWeight(int newWeight) {
        mWeight = newWeight;
    }

    void leave(UpstreamId upstream) {
        mLeaving.add(upstream);
    }

    /** Removes an upstream and adds another one; a name is never used again. */
    UpstreamId replace(UpstreamId upstream) {
        List<UpstreamId> pool = mEngines.contains(upstream) ? mEngines : mDesks;
        pool.remove(upstream);
        mLeaving.remove(upstream);
        UpstreamId added = newId(pool == mEngines ? "engine" : "desk");
        pool.add(added);
        return added;
    }

    private UpstreamId newId(String prefix) {
        return new UpstreamId(prefix + "-" + mSequence++);
    }

    private static String route(String name, String kind, String pool, String repeatable) {
        return """
        [route %s]
        path = /%s
        kind = %s
        pool = %s
        teams = all
        repeatable = %s
        deadline = 20 s
        body-limit = 64 KB
        """
                .formatted(name, name, kind, pool, repeatable);
    }

    private String pool(String name, String kind, List<UpstreamId> upstreams) {
        StringBuilder text =
                new StringBuilder("[pool %s]\n%sminimum = 1\nmaximum = 9\n".formatted(name, kind));
        for (UpstreamId id : upstreams) {
            int number = Integer.parseInt(id.value().substring(id.value().indexOf('-') + 1));
            text.append(
                    """
                    [upstream %s]
                    pool = %s
                    address = 127.0.0.1
                    port = %d
                    failure-domain = fd-%d
                    capacity = regular
                    slots = %d
                    fencing = ignored
                    state = %s
                    """
                            .formatted(
                                    id,
                                    name,
                                    10_000 + number,
                                    number % 3,
                                    SoakUpstreams.SLOTS,
                                    mLeaving.contains(id) ? "leaving" : "serving"));
        }
        return text.toString();
    }
}
