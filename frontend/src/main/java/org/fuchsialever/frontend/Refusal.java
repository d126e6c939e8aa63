package org.fuchsialever.frontend;

import java.time.Duration;
import org.fuchsialever.decisions.dispatch.RefusalReason;

/**
 * Why a caller gets no answer from an upstream.
 *
 * @param reason the reason
 * @param retryAfter when a retry may make sense; zero means never
 * @param detail further explanation for the caller, or an empty string
 */
public record Refusal(RefusalReason reason, Duration retryAfter, String detail) {

    /** Returns a refusal with the usual retry time of its reason. */
    public static Refusal of(RefusalReason reason) {
        return new Refusal(reason, reason.retryAfter(), "");
    }

    /** Returns a refusal with the usual retry time of its reason and an explanation. */
    public static Refusal of(RefusalReason reason, String detail) {
        return new Refusal(reason, reason.retryAfter(), detail);
    }
}
