package org.fuchsialever.services.hosted;

import io.vavr.control.Option;

/**
 * The head of a caller's request.
 *
 * @param host the requested host, without port
 * @param path the path without query
 * @param requestId ID of the request, empty if the caller sent none
 * @param deadlineMillis how long the caller waits, in milliseconds
 * @param key the key that the caller presents
 * @param batchId ID of the requested submission, empty for other kinds
 * @param itemId ID of the requested item, empty for other kinds
 * @param fromPosition the first position of the requested results
 * @param waitMillis how long the response may be delayed until there is a result
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

    /** The operation that a request asks for. */
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
