package org.fuchsialever.decisions.model;

/**
 * Name of an upstream, never reused for another one.
 *
 * @param value the text, not empty
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

    /** Checks the name. */
    public UpstreamId {
        Names.check(value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
