package org.fuchsialever.decisions.model;

/**
 * Name of a team: a customer whose callers share one budget.
 *
 * @param value the text, not empty
 */
public record TeamName(String value) implements Comparable<TeamName> {

    /** Checks the name. */
    public TeamName {
        Names.check(value);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
