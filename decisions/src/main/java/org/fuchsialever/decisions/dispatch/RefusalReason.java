package org.fuchsialever.decisions.dispatch;

import java.time.Duration;
import java.util.Locale;

/** Why a caller gets no complete response from an upstream. */
public enum RefusalReason {
    UNKNOWN_ROUTE(Kind.NOT_FOUND, Outcome.NOT_RUN, Duration.ZERO),
    KEY_MISSING(Kind.UNAUTHENTICATED, Outcome.NOT_RUN, Duration.ZERO),
    KEY_WRONG(Kind.UNAUTHENTICATED, Outcome.NOT_RUN, Duration.ZERO),
    KEY_EXPIRED(Kind.UNAUTHENTICATED, Outcome.NOT_RUN, Duration.ZERO),
    KEY_WITHDRAWN(Kind.UNAUTHENTICATED, Outcome.NOT_RUN, Duration.ZERO),
    KEY_WITHDRAWN_DURING_CALL(Kind.UNAUTHENTICATED, Outcome.UNKNOWN, Duration.ZERO),
    KEYS_STALE(Kind.UNAVAILABLE, Outcome.NOT_RUN, Duration.ofSeconds(5)),
    TEAM_NOT_ALLOWED(Kind.FORBIDDEN, Outcome.NOT_RUN, Duration.ZERO),
    BODY_TOO_LARGE(Kind.TOO_LARGE, Outcome.NOT_RUN, Duration.ZERO),
    MALFORMED_BODY(Kind.INVALID, Outcome.NOT_RUN, Duration.ZERO),
    METHOD_NOT_ALLOWED(Kind.INVALID, Outcome.NOT_RUN, Duration.ZERO),
    NOT_READY(Kind.UNAVAILABLE, Outcome.NOT_RUN, Duration.ofSeconds(1)),
    DRAINING(Kind.UNAVAILABLE, Outcome.NOT_RUN, Duration.ofSeconds(1)),
    NO_MEMORY(Kind.UNAVAILABLE, Outcome.NOT_RUN, Duration.ofSeconds(1)),
    QUEUE_FULL(Kind.OVERLOADED, Outcome.NOT_RUN, Duration.ofSeconds(1)),
    WOULD_MISS_DEADLINE(Kind.OVERLOADED, Outcome.NOT_RUN, Duration.ofSeconds(2)),
    DEADLINE_IN_QUEUE(Kind.OVERLOADED, Outcome.NOT_RUN, Duration.ofSeconds(2)),
    NO_UPSTREAM(Kind.UNAVAILABLE, Outcome.NOT_RUN, Duration.ofSeconds(5)),
    UPSTREAMS_NOT_REACHED(Kind.UNAVAILABLE, Outcome.NOT_RUN, Duration.ofSeconds(1)),
    RETRY_BUDGET_SPENT(Kind.UNAVAILABLE, Outcome.NOT_RUN, Duration.ofSeconds(2)),
    CLAIM_UNAVAILABLE(Kind.UNAVAILABLE, Outcome.NOT_RUN, Duration.ofSeconds(5)),
    CLAIM_IN_PROGRESS(Kind.CONFLICT, Outcome.UNKNOWN, Duration.ofSeconds(1)),
    CLAIM_MISMATCH(Kind.INVALID, Outcome.NOT_RUN, Duration.ZERO),
    UPSTREAM_FAILED(Kind.BAD_GATEWAY, Outcome.FAILED_AFTER_RUNNING, Duration.ZERO),
    ANSWER_LOST(Kind.BAD_GATEWAY, Outcome.UNKNOWN, Duration.ZERO),
    DEADLINE_WHILE_RUNNING(Kind.TIMEOUT, Outcome.UNKNOWN, Duration.ZERO),
    STEP_DIFFERS(Kind.CONFLICT, Outcome.NOT_RUN, Duration.ZERO),
    CURSOR_BEYOND_END(Kind.INVALID, Outcome.NOT_RUN, Duration.ZERO),
    GROUP_TOO_LARGE(Kind.TOO_LARGE, Outcome.NOT_RUN, Duration.ZERO),
    TRAINER_HOLDER_UNKNOWN(Kind.UNAVAILABLE, Outcome.NOT_RUN, Duration.ofSeconds(1)),
    ROLLOUT_NOT_CONFIRMED(Kind.UNAVAILABLE, Outcome.UNKNOWN, Duration.ofSeconds(1)),
    INTERNAL(Kind.INTERNAL, Outcome.UNKNOWN, Duration.ZERO);

    private final Kind mKind;
    private final Outcome mOutcome;
    private final Duration mRetryAfter;

    RefusalReason(Kind kind, Outcome outcome, Duration retryAfter) {
        mKind = kind;
        mOutcome = outcome;
        mRetryAfter = retryAfter;
    }

    /** Returns the class of the error; each front end maps it to its own status codes. */
    public Kind kind() {
        return mKind;
    }

    /** Returns what is known about the request. */
    public Outcome outcome() {
        return mOutcome;
    }

    /** Returns the delay after which the caller may retry; zero if a retry cannot succeed. */
    public Duration retryAfter() {
        return mRetryAfter;
    }

    /** Returns the stable code in responses and metrics, such as {@code queue-full}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Classes of errors, independent of any protocol. */
    public enum Kind {
        NOT_FOUND,
        UNAUTHENTICATED,
        FORBIDDEN,
        TOO_LARGE,
        INVALID,
        CONFLICT,
        OVERLOADED,
        UNAVAILABLE,
        BAD_GATEWAY,
        TIMEOUT,
        INTERNAL
    }
}
