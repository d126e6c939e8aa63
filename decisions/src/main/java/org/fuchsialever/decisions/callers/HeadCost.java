package org.fuchsialever.decisions.callers;

/**
 * The memory that the head of a request takes while the request is in progress. A field of a few
 * bytes takes far more than its length: an entry, a name and a value, each an object of its own, in
 * the request and again in the attempt that forwards it.
 */
public final class HeadCost {
    /** The objects of a request without fields. */
    private static final long REQUEST_BYTES = 512;

    private static final long FIELD_BYTES = 256;

    /** The text exists as a request and, while it is forwarded, in a buffer. */
    private static final long COPIES = 2;

    /** The shortest line of a field: a name of one character, a colon and the end of the line. */
    private static final int SHORTEST_LINE_BYTES = 4;

    private HeadCost() {}

    /**
     * Returns the bytes of memory that a head takes.
     *
     * @param lines number of its lines
     * @param bytes its length on the connection
     */
    public static long of(long lines, long bytes) {
        return REQUEST_BYTES + lines * FIELD_BYTES + bytes * COPIES;
    }

    /** Returns the largest cost of a head of at most the given length on the connection. */
    public static long largest(long bytes) {
        return of(bytes / SHORTEST_LINE_BYTES + 1, bytes);
    }
}
