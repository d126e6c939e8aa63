package org.fuchsialever.node.dispatch;

import io.vavr.control.Option;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.dispatch.DispatchRequest;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.node.upstream.UpstreamCall;

/**
 * A call that the dispatch duty is to place.
 *
 * @param request what the duty knows of it
 * @param key the key under which it runs, if there is one
 * @param attempts builds the request of each attempt
 */
record CallWork(DispatchRequest request, Option<KeyId> key, Attempts attempts) {

    /** Builds the requests that are sent to upstreams. */
    interface Attempts {
        /** Returns the request of an attempt that continues from a token. */
        UpstreamCall build(int attempt, UpstreamSpec upstream, int resumeFrom);
    }
}
