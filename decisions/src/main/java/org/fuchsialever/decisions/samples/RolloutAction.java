package org.fuchsialever.decisions.samples;

import java.util.List;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;

/** What the rollout duty wants done. */
public sealed interface RolloutAction {

    /** Read the state of a trainer at the given version of its head row or a later one. */
    record Restore(TrainerName trainer, long term, long atLeastVersion, long delayNanos)
            implements RolloutAction {}

    /** Generate a sample. */
    record Generate(
            SampleId sample,
            long term,
            long attempt,
            RouteName route,
            TeamName team,
            String prompt,
            int maxTokens,
            int urgency)
            implements RolloutAction {}

    /** Stop generating a sample. */
    record CancelGeneration(TrainerName trainer, long term, long attempt)
            implements RolloutAction {}

    /** Judge a sample. */
    record Judge(SampleId sample, long term, long attempt, String prompt, String text)
            implements RolloutAction {}

    /** Store the bodies of samples unless the object exists. */
    record StoreBody(TrainerName trainer, long term, String object, List<JudgedSample> samples)
            implements RolloutAction {}

    /** Commit a batch together with the cursor. */
    record CommitBatch(TrainerName trainer, long term, HeadCommit commit)
            implements RolloutAction {}

    /** Commit the cursor without a batch, with or without a submission. */
    record CommitCursor(TrainerName trainer, long term, HeadCommit commit)
            implements RolloutAction {}

    /**
     * Answer a request for samples.
     *
     * @param firstPosition position of the first entry
     * @param entries the samples, empty if there is none in time
     * @param idleNanos how long the trainer has been waiting without a sample, in nanoseconds
     * @param staleness the largest staleness among the entries, in versions
     */
    record Deliver(
            TrainerName trainer,
            long request,
            long firstPosition,
            List<BatchEntry> entries,
            long idleNanos,
            long staleness)
            implements RolloutAction {}

    /** Confirm a submission or an acknowledgement. */
    record Accept(TrainerName trainer, long request, int acceptedSamples)
            implements RolloutAction {}

    /** Refuse a request. */
    record Refuse(TrainerName trainer, long request, RolloutRefusal reason)
            implements RolloutAction {}

    /** Count something. */
    record Count(TrainerName trainer, RolloutCounter counter, int amount)
            implements RolloutAction {}
}
