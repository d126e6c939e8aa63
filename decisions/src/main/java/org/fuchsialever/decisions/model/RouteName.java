package org.fuchsialever.decisions.model;

/**
 * Name of a route.
 *
 * @param value the text, not empty
 */
public record RouteName(String value) implements Comparable<RouteName> {

    /** Checks the name. */
    public RouteName {
        Names.check(value);
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
