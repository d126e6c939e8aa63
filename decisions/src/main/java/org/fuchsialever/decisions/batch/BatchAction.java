package org.fuchsialever.decisions.batch;

import java.util.List;
import java.util.Map;

/** Action that the batch duty emits. */
public sealed interface BatchAction {

    /**
     * Takes over a submission without a live owner, or begins one that was assigned to this
     * instance. The state row is written first, because the decision may be based on a stale read.
     */
    record Claim(BatchState state, long version, String reason) implements BatchAction {}

    /** Opens a submission that has waited for its route; without a route, its route has ended. */
    record Open(LoadedBatch batch) implements BatchAction {}

    /**
     * Generates the text of an item.
     *
     * @param spec the submission
     * @param state its state
     * @param item index of the item
     * @param run identifies this run of the item
     * @param queueRank smaller values run first
     * @param expectedLong whether the text is probably much longer than most of the submission
     * @param beginning the stored beginning of the text
     */
    record Generate(
            BatchSpec spec,
            BatchState state,
            int item,
            String run,
            long queueRank,
            boolean expectedLong,
            PartialText beginning)
            implements BatchAction {}

    /**
     * Scores the text of an item.
     *
     * @param spec the submission
     * @param item index of the item
     * @param call the call that scores it
     * @param team the team that submitted it, empty if no key was needed
     * @param queueRank smaller values run first
     */
    record Score(BatchSpec spec, int item, ScoringCall call, String team, long queueRank)
            implements BatchAction {}

    /**
     * Stores the latest events of texts that are about to be stopped, so that the next run of the
     * item, in a later submission or at another instance, continues after them.
     *
     * @param id ID of the submission
     * @param model the model that generates the texts
     * @param reported segments that no commit has stored
     * @param open the texts that are being generated, whose later events only their runs know
     */
    record KeepTexts(String id, String model, List<TextSegment> reported, List<OpenText> open)
            implements BatchAction {

        /** Copies the lists. */
        public KeepTexts {
            reported = List.copyOf(reported);
            open = List.copyOf(open);
        }
    }

    /**
     * Sets the weights of teams whose open items are in part at other instances.
     *
     * @param weights weight by team; 1 for teams that are not in the map
     */
    record WeighTeams(Map<String, Double> weights) implements BatchAction {

        /** Copies the map. */
        public WeighTeams {
            weights = Map.copyOf(weights);
        }
    }

    /** Cancels the generation or scoring of an item. */
    record Stop(String id, int item) implements BatchAction {}

    /**
     * Writes results and the state row.
     *
     * @param state the new state
     * @param version the version that the state row must have, else the commit conflicts
     * @param firstPosition the position of the first result
     * @param results the results, in the order of their positions
     * @param texts changes of the stored texts of unfinished items
     */
    record Commit(
            BatchState state,
            long version,
            int firstPosition,
            List<ItemResult> results,
            TextChanges texts)
            implements BatchAction {}

    /** This instance no longer runs the submission. */
    record Closed(String id, String reason) implements BatchAction {}

    /** This instance owns no submission any more and may shut down. */
    record Drained() implements BatchAction {}
}
