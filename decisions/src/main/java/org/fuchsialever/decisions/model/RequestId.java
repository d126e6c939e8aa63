package org.fuchsialever.decisions.model;

/**
 * ID of a request, unique across instances.
 *
 * @param value the text, not empty
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /** Checks the name. */
    public RequestId {
        Names.check(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
