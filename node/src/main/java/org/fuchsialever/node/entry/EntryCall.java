package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsialever.decisions.manifest.ForwardRoute;

/**
 * A call to forward to an upstream.
 *
 * @param requestId ID of the request, empty if it has none
 * @param route the route that matches its host and path
 * @param team the team of the caller's key, empty on open routes
 * @param method HTTP method
 * @param uri path and query
 * @param headers header fields as received
 * @param body the complete body
 * @param memory the memory that the call holds
 */
record EntryCall(
        String requestId,
        ForwardRoute route,
        String team,
        String method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        InstanceMemory.Lease memory) {}
