package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsialever.decisions.manifest.ForwardRoute;

/**
 * A call that is forwarded.
 *
 * @param requestId its identity
 * @param route its route
 * @param team the team of the caller's key, empty on open routes
 * @param method HTTP method
 * @param uri path and query
 * @param headers header fields as received
 * @param body the body
 */
record EntryCall(
        String requestId,
        ForwardRoute route,
        String team,
        String method,
        String uri,
        HttpHeaders headers,
        byte[] body) {}
