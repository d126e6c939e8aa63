package org.fuchsialever.decisions.samples;

import java.util.Locale;

/** What is counted for each trainer. */
public enum RolloutCounter {
    /** Samples handed to the trainer, including repeats of the same position. */
    DELIVERED,
    /** Samples that were replaced because they were stale. */
    REPLACED_STALE,
    /** Samples that were started a second time because they were late. */
    DUPLICATED,
    /** Results that were dropped because the sample had a result, or the term was over. */
    DROPPED,
    /** Generations that failed and were started again. */
    GENERATION_RETRIED,
    /** Judgements that failed and were asked for again. */
    JUDGE_RETRIED,
    /** Objects that were stored again after a failure. */
    STORE_RETRIED,
    /** Commits that were sent again because their result was unknown. */
    COMMIT_RETRIED,
    /** Commits that conflicted, after which the state was read again. */
    COMMIT_CONFLICTED,
    /** Steps that were not finished at their deadline. */
    STEP_LATE;

    /** Returns the name used in metrics. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
