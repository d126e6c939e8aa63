package org.fuchsialever.decisions.samples;

import io.vavr.control.Option;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.model.WeightVersion;

/** What the rollout duty learns. A term is one uninterrupted holding of a trainer's lease. */
public sealed interface RolloutEvent {

    /** Returns the trainer. */
    TrainerName trainer();

    /** This instance may act for a trainer from now on. */
    record LeaseAcquired(TrainerName trainer, long term) implements RolloutEvent {}

    /** This instance must not act for a trainer any more. */
    record LeaseLost(TrainerName trainer) implements RolloutEvent {}

    /** The stored state was read; it may be older than the present one. */
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

    /** The bodies of a batch may not be in the object store. */
    record StoreFailed(TrainerName trainer, long term, String object) implements RolloutEvent {}

    /** A commit took effect. */
    record CommitSucceeded(TrainerName trainer, long term, String writer, long version)
            implements RolloutEvent {}

    /** It is not known whether a commit took effect. */
    record CommitOutcomeUnknown(TrainerName trainer, long term, String writer)
            implements RolloutEvent {}

    /**
     * A commit conflicted.
     *
     * @param head writer and version of row {@code cursor/<trainer>} if that row conflicted
     * @param submittedObject object of the step's earlier submission if that row conflicted
     */
    record CommitConflicted(
            TrainerName trainer,
            long term,
            String writer,
            Option<RowWriter> head,
            Option<String> submittedObject)
            implements RolloutEvent {}

    /** The trainer asks for the samples from a position on. */
    record SamplesRequested(
            TrainerName trainer, long request, long cursor, int limit, long waitNanos)
            implements RolloutEvent {}

    /** The trainer has all samples below a position. */
    record CursorAcknowledged(TrainerName trainer, long request, long cursor)
            implements RolloutEvent {}

    /** The trainer's model is known to have a version. */
    record VersionObserved(TrainerName trainer, WeightVersion version) implements RolloutEvent {}

    /**
     * Who wrote a row.
     *
     * @param writer identity of the commit
     * @param version the row's version
     */
    record RowWriter(String writer, long version) {}
}
