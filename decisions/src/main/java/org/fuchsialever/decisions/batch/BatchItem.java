package org.fuchsialever.decisions.batch;

import io.vavr.control.Option;
import java.util.Map;

/**
 * One item of a batch submission.
 *
 * @param id its request identity
 * @param group items of a group share their prompt
 * @param path where it is sent
 * @param headers header fields that are sent with it
 * @param body its body
 * @param maxTokenCount tokens of its prompt and the most that it may generate
 * @param scoringCall the call that scores its text, if any
 */
public record BatchItem(
        String id,
        String group,
        String path,
        Map<String, String> headers,
        byte[] body,
        long maxTokenCount,
        Option<ScoringCall> scoringCall) {

    /** Copies the map. */
    public BatchItem {
        headers = Map.copyOf(headers);
    }
}
