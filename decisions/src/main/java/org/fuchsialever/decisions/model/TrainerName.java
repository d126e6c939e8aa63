package org.fuchsialever.decisions.model;

/**
 * Name of a trainer.
 *
 * @param value the text, not empty
 */
public record TrainerName(String value) implements Comparable<TrainerName> {

    /** Checks the name. */
    public TrainerName {
        Names.check(value);
    }

    @Override
    public int compareTo(TrainerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
