package org.fuchsialever.decisions.batch;

import java.util.List;

/** Assigns submissions to instances. */
public final class Placement {
    /** Submissions with more items than this take most of the processor time of one instance. */
    private static final int MAX_ITEMS_ON_ONE_OWNER = 200;

    /** A trainer has up to two steps in flight, which then run at different instances. */
    private static final int OWNERS_OF_LARGE_STEPS = 2;

    private Placement() {}

    /**
     * Returns the instance that runs a submission. A team's submissions for a model share an
     * instance, which keeps its connections to the engines; large steps alternate between two.
     *
     * @param candidates the instances to choose from, at least one
     * @param team the team that submits it
     * @param spec the submission
     */
    public static Peer owner(List<Peer> candidates, String team, BatchSpec spec) {
        List<Peer> ranked = Peer.ranked(candidates, team + "/" + spec.model());
        boolean large = spec.items().size() > MAX_ITEMS_ON_ONE_OWNER;
        int owners = large ? Math.min(OWNERS_OF_LARGE_STEPS, ranked.size()) : 1;
        return ranked.get((int) Math.floorMod(spec.step(), (long) owners));
    }
}
