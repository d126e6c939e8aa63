package org.fuchsialever.services.hosted;

import io.vavr.control.Option;

/**
 * The head of a caller's request.
 *
 * @param kind what is asked for
 * @param host the host that the caller names, without port
 * @param path the path without query
 * @param requestId identity of the request, empty if the caller gave none
 * @param deadlineMillis how long the caller waits, in milliseconds
 * @param key the key that the caller shows
 * @param batchId the submission that is asked for, empty for other kinds
 * @param itemId the item that is asked for, empty for other kinds
 * @param fromPosition the first position that is asked for
 * @param waitMillis how long the answer may be held back until there is a result
 */
public record EntryRequest(
        Kind kind,
        String host,
        String path,
        String requestId,
        Option<Long> deadlineMillis,
        Option<String> key,
        String batchId,
        String itemId,
        int fromPosition,
        long waitMillis) {

    /** What a request asks for. */
    public enum Kind {
        /** Whether the instance is ready. */
        READINESS,
        /** Results of a submission. */
        READ_RESULTS,
        /** The body of an item. */
        READ_ITEM,
        /** The end of a submission. */
        END_BATCH,
        /** A call or a submission, by its route. */
        CALL
    }
}
