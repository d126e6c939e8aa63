package org.fuchsialever.decisions.samples;

import io.vavr.control.Option;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * Input of the rollout duty. The term is the fencing token of the trainer's lease; it changes when
 * another instance takes the lease.
 */
public sealed interface RolloutEvent {

    /** Returns the trainer. */
    TrainerName trainer();

    /** This instance may act for a trainer from now on. */
    record LeaseAcquired(TrainerName trainer, long term) implements RolloutEvent {}

    /** This instance must not act for a trainer any more. */
    record LeaseLost(TrainerName trainer) implements RolloutEvent {}

    /** The stored state was read; the read may be stale. */
    record TrainerRestored(TrainerName trainer, long term, RestoredLog log)
            implements RolloutEvent {}

    /** A submission whose specification is in the object store. */
    record GroupsSubmitted(long request, Submission submission) implements RolloutEvent {
        @Override
        public TrainerName trainer() {
            return submission.trainer();
        }
    }

    /** A sample was generated. */
    record SampleGenerated(TrainerName trainer, long term, long attempt, GeneratedSample sample)
            implements RolloutEvent {}

    /** A sample was judged. */
    record SampleJudged(TrainerName trainer, long term, long attempt, double score)
            implements RolloutEvent {}

    /** Generation or judgement of a sample failed. */
    record SampleFailed(TrainerName trainer, long term, long attempt) implements RolloutEvent {}

    /** The bodies of a batch are in the object store. */
    record BatchStored(TrainerName trainer, long term, String object) implements RolloutEvent {}

    /** The bodies of a batch could not be stored, or the outcome is unknown. */
    record StoreFailed(TrainerName trainer, long term, String object) implements RolloutEvent {}

    /** A commit took effect. */
    record CommitSucceeded(TrainerName trainer, long term, String writer, long version)
            implements RolloutEvent {}

    /** A commit may or may not have taken effect. */
    record CommitOutcomeUnknown(TrainerName trainer, long term, String writer)
            implements RolloutEvent {}

    /**
     * A commit conflicted.
     *
     * @param head writer and version of row {@code cursor/<trainer>} if that row conflicted
     * @param submittedObject object of the step's earlier submission if the row of the step
     *     conflicted
     */
    record CommitConflicted(
            TrainerName trainer,
            long term,
            String writer,
            Option<RowWriter> head,
            Option<String> submittedObject)
            implements RolloutEvent {}

    /** The trainer requests the samples from a position on. */
    record SamplesRequested(
            TrainerName trainer, long request, long cursor, int limit, long waitNanos)
            implements RolloutEvent {}

    /** The trainer confirms that it has received all samples below a position. */
    record CursorAcknowledged(TrainerName trainer, long request, long cursor)
            implements RolloutEvent {}

    /** A weight version of the trainer's model was observed. */
    record VersionObserved(TrainerName trainer, WeightVersion version) implements RolloutEvent {}

    /**
     * Writer and version of a row.
     *
     * @param writer unique ID of the commit that wrote the row
     * @param version the row's version
     */
    record RowWriter(String writer, long version) {}
}
