package org.fuchsialever.decisions.memory;

/**
 * Whether a body may be read.
 *
 * @param share the share that holds the body if it is admitted
 * @param retryAfterMillis when a rejected caller should return, otherwise 0
 */
public record BodyVerdict(Outcome outcome, MemoryShare share, long retryAfterMillis) {

    static BodyVerdict of(Outcome outcome, MemoryShare share) {
        return new BodyVerdict(outcome, share, 0);
    }

    static BodyVerdict rejected(long retryAfterMillis) {
        return new BodyVerdict(Outcome.REJECTED, MemoryShare.LARGE_BODY, retryAfterMillis);
    }

    /** The decision about a body. */
    public enum Outcome {
        /** Its bytes are reserved. */
        ADMITTED,
        /** It is read when its turn comes. */
        WAITING,
        /** There is no room within the time that its caller can wait. */
        REJECTED,
        /** It is larger than all of its share. */
        NEVER_FITS
    }
}
