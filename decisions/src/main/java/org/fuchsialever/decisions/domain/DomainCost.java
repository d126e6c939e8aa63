package org.fuchsialever.decisions.domain;

/**
 * What it costs to run a call in another failure domain.
 *
 * @param hopNanos additional round trip time in nanoseconds
 * @param nanosPerByte waiting time in nanoseconds that is worth as much as one byte of the body
 */
public record DomainCost(long hopNanos, double nanosPerByte) {

    /** Rejects negative costs. */
    public DomainCost {
        if (hopNanos < 0 || nanosPerByte < 0) {
            throw new IllegalArgumentException("costs must not be negative");
        }
    }

    /** Returns the price of the bytes of a body, as waiting time in nanoseconds. */
    long bytesNanos(long bytes) {
        return Math.round(bytes * nanosPerByte);
    }

    /** Returns the cost of a call with a body of the given size, in nanoseconds. */
    long callNanos(long bytes) {
        return hopNanos + bytesNanos(bytes);
    }
}
