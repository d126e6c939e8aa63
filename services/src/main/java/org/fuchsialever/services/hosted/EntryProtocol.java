package org.fuchsialever.services.hosted;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.util.List;
import org.fuchsialever.decisions.batch.BatchSpec;
import org.fuchsialever.decisions.batch.ItemResult;

/** How callers speak to an instance. */
public interface EntryProtocol {

    /** Reads the head of a request. */
    EntryRequest readRequest(String method, String uri, HttpHeaders headers);

    /** Reads a submission, or says what is wrong with it. */
    Either<String, BatchSpec> readBatch(String id, byte[] body);

    /**
     * Writes results of a submission.
     *
     * @param total the number of its items
     * @param results the results from the position that was asked for
     * @param next the position after the last result
     */
    byte[] writeResults(int total, List<ItemResult> results, int next);

    /** Writes a refusal for a person to read. */
    byte[] writeRefusal(String reason);

    /** Returns the header fields that name a request in its answer. */
    HttpHeaders responseHeaders(String requestId);
}
