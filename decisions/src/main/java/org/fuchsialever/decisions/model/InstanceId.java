package org.fuchsialever.decisions.model;

/**
 * Name of an instance of the service.
 *
 * @param value the text, not empty
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /** Checks the name. */
    public InstanceId {
        Names.check(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
