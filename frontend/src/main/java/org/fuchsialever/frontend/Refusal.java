package org.fuchsialever.frontend;

import java.time.Duration;
import org.fuchsialever.decisions.dispatch.RefusalReason;

/**
 * The reason why a caller gets no response of an upstream.
 *
 * @param retryAfter the time after which a retry may succeed; zero if none can
 * @param detail further explanation for the caller, or an empty string
 */
public record Refusal(RefusalReason reason, Duration retryAfter, String detail) {

    /** Returns a refusal with the default retry time of its reason. */
    public static Refusal of(RefusalReason reason) {
        return new Refusal(reason, reason.retryAfter(), "");
    }

    /** Returns a refusal with the default retry time of its reason and an explanation. */
    public static Refusal of(RefusalReason reason, String detail) {
        return new Refusal(reason, reason.retryAfter(), detail);
    }
}
