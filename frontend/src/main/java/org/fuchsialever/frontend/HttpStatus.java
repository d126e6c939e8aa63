package org.fuchsialever.frontend;

import org.fuchsialever.decisions.dispatch.RefusalReason;

/** Maps kinds of refusals to status codes. */
final class HttpStatus {
    private HttpStatus() {}

    static int of(RefusalReason.Kind kind) {
        return switch (kind) {
            case NOT_FOUND -> 404;
            case UNAUTHENTICATED -> 401;
            case FORBIDDEN -> 403;
            case TOO_LARGE -> 413;
            case INVALID -> 400;
            case CONFLICT -> 409;
            case OVERLOADED -> 429;
            case UNAVAILABLE -> 503;
            case BAD_GATEWAY -> 502;
            case TIMEOUT -> 504;
            case INTERNAL -> 500;
        };
    }
}
