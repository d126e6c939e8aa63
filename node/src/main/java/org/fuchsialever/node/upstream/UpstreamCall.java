package org.fuchsialever.node.upstream;

import java.util.List;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.HeaderField;

/**
 * One attempt to send a request to an upstream.
 *
 * @param id identity of the request
 * @param upstream the upstream
 * @param method the HTTP method
 * @param uri path and query
 * @param headers header fields
 * @param body the request body
 */
public record UpstreamCall(
        RequestId id,
        UpstreamSpec upstream,
        String method,
        String uri,
        List<HeaderField> headers,
        byte[] body) {}
