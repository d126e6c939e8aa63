package org.fuchsialever.decisions.samples;

import java.util.Locale;

/** Counters kept for each trainer. */
public enum RolloutCounter {
    /** Samples delivered to the trainer, including repeated delivery of the same position. */
    DELIVERED,
    /** Samples that were replaced because they were stale. */
    REPLACED_STALE,
    /** Samples for which a second generation was started because the first was late. */
    DUPLICATED,
    /** Results that were dropped because the sample already had a result or the term had ended. */
    DROPPED,
    /** Generations that failed and were started again. */
    GENERATION_RETRIED,
    /** Judgements that failed and were requested again. */
    JUDGE_RETRIED,
    /** Objects that were stored again after a failure. */
    STORE_RETRIED,
    /** Commits that were sent again because their outcome was unknown. */
    COMMIT_RETRIED,
    /** Commits that conflicted, after which the state was read again. */
    COMMIT_CONFLICTED,
    /** Steps that missed their deadline. */
    STEP_LATE;

    /** Returns the name used in metrics. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
