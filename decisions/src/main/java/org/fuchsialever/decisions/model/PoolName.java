package org.fuchsialever.decisions.model;

/**
 * Name of a pool of upstreams; the route table refers to pools by it.
 *
 * @param value the text, not empty
 */
public record PoolName(String value) implements Comparable<PoolName> {

    /** Checks the name. */
    public PoolName {
        Names.check(value);
    }

    @Override
    public int compareTo(PoolName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
