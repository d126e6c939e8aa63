package org.fuchsialever.services.hosted;

import java.time.Duration;
import java.util.Map;
import reactor.core.publisher.Mono;

/** Calls to the platform that carry a fencing token, so that only the holder of a role succeeds. */
public interface FencedCalls {
    /** A call without a response by then has failed; its effect is unknown. */
    Duration TIME_LIMIT = Duration.ofSeconds(1);

    /**
     * Reports the calls of a usage window.
     *
     * @param window the number of the window
     * @param counts the number of calls that started in the window, by team
     * @param fencing the fencing token of the role
     */
    Mono<Result> reportUsage(long window, Map<String, Long> counts, long fencing);

    /** Result of a call. */
    enum Result {
        /** The call took effect, now or in an earlier attempt. */
        ACCEPTED,
        /** The platform has seen a higher fencing token. */
        FENCED,
        /** The platform refused the call; a retry may succeed. */
        BUSY
    }
}
