package org.fuchsialever.frontend;

import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.model.RequestId;

/**
 * A call that was admitted and may be sent to an upstream. Its headers contain no credentials.
 *
 * @param uri path and query
 * @param headers the header fields to forward
 * @param idempotencyKey the caller's ID of a call that it may retry
 * @param secret the secret that the caller presented, which must not reach an upstream
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
