package org.fuchsialever.services.hosted;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.util.List;
import org.fuchsialever.decisions.batch.BatchSpec;
import org.fuchsialever.decisions.batch.ItemResult;

/** The protocol between callers and instances. */
public interface EntryProtocol {

    /** Decodes the head of a request. */
    EntryRequest readRequest(String method, String uri, HttpHeaders headers);

    /** Decodes a submission; left is a message that says what is invalid. */
    Either<String, BatchSpec> readBatch(String id, byte[] body);

    /**
     * Encodes results of a submission.
     *
     * @param total the number of items of the submission
     * @param results the results from the requested position on
     * @param next the position after the last result
     */
    byte[] writeResults(int total, List<ItemResult> results, int next);

    /** Encodes a refusal with a reason in plain text. */
    byte[] writeRefusal(String reason);

    /** Returns the header fields that identify the request in its response. */
    HttpHeaders responseHeaders(String requestId);
}
