package org.fuchsialever.node.dispatch;

import io.vavr.control.Option;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.dispatch.DispatchRequest;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.node.upstream.UpstreamCall;

/**
 * A call to dispatch.
 *
 * @param request the request as the dispatch duty schedules it
 * @param key ID of the caller's key, or none if the call was made without a key
 * @param requestBuilder builds the upstream request of each attempt
 */
record CallSpec(DispatchRequest request, Option<KeyId> key, RequestBuilder requestBuilder) {

    /** Builds the request of an attempt. */
    interface RequestBuilder {
        /** Returns the request of an attempt that resumes at the token with the given index. */
        UpstreamCall build(int attempt, UpstreamSpec upstream, int resumeFrom);
    }
}
