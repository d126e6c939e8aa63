package org.fuchsialever.services.exchange;

import java.util.regex.Pattern;
import reactor.core.publisher.Mono;

/** Statuses that HTTP allows in a response. */
public final class ResponseStatus {
    private static final Pattern THREE_DIGITS = Pattern.compile("[1-5][0-9]{2}");

    private ResponseStatus() {}

    /** Returns whether what a status line has between version and reason is a status. */
    static boolean isValid(String text) {
        return THREE_DIGITS.matcher(text).matches();
    }

    /**
     * Returns a received status, for clients that do not show the status line.
     *
     * @param status the number that the client took for a status
     * @return the status; fails with {@link BrokenResponseException} if it is none
     */
    public static Mono<Integer> valid(int status) {
        String text = String.valueOf(status);
        return isValid(text) ? Mono.just(status) : Mono.error(new BrokenResponseException(text));
    }
}
