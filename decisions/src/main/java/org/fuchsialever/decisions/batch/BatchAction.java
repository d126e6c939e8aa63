package org.fuchsialever.decisions.batch;

import java.util.List;

/** What the batch duty decides. */
public sealed interface BatchAction {

    /**
     * Takes a submission over whose owner is gone, or begins one that was placed here. The head is
     * written first, because the view that led to this may be old.
     */
    record Claim(BatchState state, long version, String reason) implements BatchAction {}

    /** Generates the text of an item. */
    record Generate(BatchSpec spec, BatchState state, int item, long queueRank)
            implements BatchAction {}

    /** Scores the text of an item. */
    record Score(BatchSpec spec, int item, ScoringCall call, long queueRank)
            implements BatchAction {}

    /** Ends what runs for an item. */
    record Stop(String id, int item) implements BatchAction {}

    /**
     * Writes results and the head.
     *
     * @param state the head to write
     * @param version the version that the row of the head must have
     * @param firstPosition the position of the first result
     * @param results the results, in the order of their positions
     */
    record Commit(BatchState state, long version, int firstPosition, List<ItemResult> results)
            implements BatchAction {}

    /** This instance no longer runs the submission. */
    record Closed(String id, String reason) implements BatchAction {}

    /** All submissions have been given up for shutdown. */
    record Drained() implements BatchAction {}
}
