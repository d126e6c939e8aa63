package org.fuchsialever.decisions.batch;

import io.vavr.control.Option;
import java.util.Map;

/**
 * One item of a batch submission.
 *
 * @param id request ID, unique within the submission
 * @param group name of its group; items of a group share their prompt
 * @param path path of the upstream request
 * @param headers additional header fields of the upstream request
 * @param body body of the upstream request
 * @param maxTokenCount tokens of its prompt plus the maximum that it may generate
 * @param expectedTokens the trainer's estimate of the tokens that it generates, often far off; 0 if
 *     there is none
 * @param scoringCall the call that scores its text, none if it is not scored
 */
public record BatchItem(
        String id,
        String group,
        String path,
        Map<String, String> headers,
        byte[] body,
        long maxTokenCount,
        long expectedTokens,
        Option<ScoringCall> scoringCall) {

    /** Names, header fields and what the owner keeps about an item. */
    private static final int OVERHEAD_BYTES = 2_048;

    /** Copies the map. */
    public BatchItem {
        headers = Map.copyOf(headers);
    }

    /** Returns the memory that the item takes at the owner of its submission, in bytes. */
    long memoryBytes() {
        long scoring = scoringCall.map(call -> call.body().length).getOrElse(0);
        return body.length + scoring + OVERHEAD_BYTES;
    }
}
