package org.fuchsialever.services.hosted;

import java.util.Map;
import reactor.core.publisher.Mono;

/** Calls to the platform that one instance at a time may make. */
public interface FencedCalls {

    /**
     * Reports the calls of a usage window.
     *
     * @param window its number
     * @param counts calls that began in the window, by team
     * @param fencing the fencing number of the role
     */
    Mono<Result> reportUsage(long window, Map<String, Long> counts, long fencing);

    /** Answers to such a call. */
    enum Result {
        /** The call took effect, now or before. */
        ACCEPTED,
        /** A higher fencing number was seen. */
        FENCED,
        /** The platform refuses calls for now. */
        BUSY
    }
}
