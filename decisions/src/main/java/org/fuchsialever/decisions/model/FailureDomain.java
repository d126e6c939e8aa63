package org.fuchsialever.decisions.model;

/**
 * Name of a failure domain.
 *
 * @param value the text, not empty
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /** Checks the name. */
    public FailureDomain {
        Names.check(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
