package org.fuchsialever.node.upstream;

import java.util.List;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.HeaderField;
import org.fuchsialever.frontend.PresentedSecret;

/**
 * One attempt to send a request to an upstream.
 *
 * @param id identity of the request as the upstream sees it
 * @param upstream the upstream
 * @param kind what the upstream speaks
 * @param method the HTTP method
 * @param uri path and query
 * @param headers header fields
 * @param body the request body
 * @param secret the secret that the caller showed, which must not be sent
 */
public record UpstreamCall(
        RequestId id,
        UpstreamSpec upstream,
        UpstreamKind kind,
        String method,
        String uri,
        List<HeaderField> headers,
        byte[] body,
        PresentedSecret secret) {

    /** Returns whether any part of the request contains the caller's secret. */
    boolean showsSecret() {
        return secret.occursIn(uri)
                || secret.occursIn(body)
                || headers.stream().anyMatch(field -> secret.occursIn(field.value()));
    }
}
