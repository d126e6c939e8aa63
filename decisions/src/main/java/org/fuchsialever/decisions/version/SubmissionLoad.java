package org.fuchsialever.decisions.version;

/**
 * What a submission asks of the engines of its model.
 *
 * @param id ID of the submission
 * @param model the model that generates its texts
 * @param expectedTokens the tokens that it is expected to take, 0 if unknown
 * @param itemCount number of items
 * @param openItemCount number of items that still have to run
 * @param submittedNanos when it was accepted, in monotonic nanoseconds of this instance
 */
public record SubmissionLoad(
        String id,
        String model,
        long expectedTokens,
        int itemCount,
        int openItemCount,
        long submittedNanos) {}
