package org.fuchsialever.decisions.batch;

/**
 * Facts about the content of a submission that are part of its state.
 *
 * @param model the model that generates the texts, empty for a plain service
 * @param minVersion the oldest weight version allowed
 * @param copyNumber number of the stored object that holds the content, from 0
 * @param expectedTokens the tokens that its items are expected to take, 0 if unknown
 * @param memoryBytes the memory that it takes at its owner in bytes, 0 if unknown
 */
public record BatchContent(
        String model, long minVersion, int copyNumber, long expectedTokens, long memoryBytes) {

    /** Creates facts about a content of unknown size. */
    public BatchContent(String model, long minVersion, int copyNumber, long expectedTokens) {
        this(model, minVersion, copyNumber, expectedTokens, 0);
    }

    /** Returns the facts about a submission whose content is stored under a number. */
    public static BatchContent of(BatchSpec spec, int copyNumber) {
        return new BatchContent(
                spec.model(),
                spec.minVersion(),
                copyNumber,
                spec.expectedTokens(),
                spec.memoryBytes());
    }
}
