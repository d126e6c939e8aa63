package org.fuchsialever.decisions.batch;

import io.vavr.control.Option;
import java.util.List;
import java.util.Set;

/** What the batch duty learns. */
public sealed interface BatchEvent {

    /** The rows of submissions have changed. */
    record StatesChanged(List<VersionedState> states, List<String> removed) implements BatchEvent {}

    /** The store answers reads of the submissions (again), or no longer. */
    record StoreReachability(boolean reachable) implements BatchEvent {}

    /** The instances that are alive have changed. */
    record PeersChanged(List<Peer> peers) implements BatchEvent {

        /** Copies the list. */
        public PeersChanged {
            peers = List.copyOf(peers);
        }
    }

    /** This instance has accepted a submission for another instance to run. */
    record Placed(String id) implements BatchEvent {}

    /** This instance has accepted or taken over a submission and knows its items. */
    record Opened(OpenedBatch batch) implements BatchEvent {}

    /** A submission could not be taken over. */
    record ClaimFailed(String id, String reason) implements BatchEvent {}

    /** An item has its text. */
    record Generated(String id, int item, String text, List<Long> versions) implements BatchEvent {}

    /** An item can not be generated. */
    record GenerationFailed(String id, int item) implements BatchEvent {}

    /** The text of an item has its score. */
    record Scored(String id, int item, String score) implements BatchEvent {}

    /** The text of an item can not be scored. */
    record ScoringFailed(String id, int item) implements BatchEvent {}

    /** A commit took effect. */
    record Committed(String id, long version) implements BatchEvent {}

    /** A commit conflicted with the present row of the submission. */
    record Conflicted(String id, Option<VersionedState> present) implements BatchEvent {}

    /** A commit was not answered or refused for now. */
    record CommitFailed(String id, String reason) implements BatchEvent {}

    /** The instance shuts down. */
    record Draining() implements BatchEvent {}

    /** The head of a submission with the version of its row. */
    record VersionedState(BatchState state, long version) {}

    /**
     * A submission that this instance runs.
     *
     * @param state its head, which names this instance
     * @param version the version of the head's row
     * @param spec its items
     * @param finishedItems the items that have a result
     * @param dueAtMillis when all results are due, Unix time in milliseconds
     * @param abandonAtNanos when items may be given up, in monotonic nanoseconds
     * @param singleVersion whether a text must come from one weight version
     */
    record OpenedBatch(
            BatchState state,
            long version,
            BatchSpec spec,
            Set<String> finishedItems,
            long dueAtMillis,
            long abandonAtNanos,
            boolean singleVersion) {}
}
