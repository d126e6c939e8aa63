package org.fuchsialever.frontend;

import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.model.RequestId;

/**
 * A call that was checked and may go to an upstream. Its headers hold no credentials.
 *
 * @param id its identity
 * @param route its route
 * @param caller who sent it
 * @param method the HTTP method
 * @param uri path and query
 * @param headers the header fields to forward
 * @param body the request body
 * @param shape its size and form
 * @param idempotencyKey the caller's identity for a call that it may send again
 * @param secret the secret that the caller showed, which no upstream may see
 */
public record Call(
        RequestId id,
        Route route,
        Caller caller,
        String method,
        String uri,
        List<HeaderField> headers,
        byte[] body,
        CallShape shape,
        Option<String> idempotencyKey,
        PresentedSecret secret) {}
