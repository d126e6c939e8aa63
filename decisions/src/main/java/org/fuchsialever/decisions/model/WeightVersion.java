package org.fuchsialever.decisions.model;

/**
 * Version of a model's weights; a later version has a higher number.
 *
 * @param number the version number, not negative
 */
public record WeightVersion(long number) implements Comparable<WeightVersion> {

    /** Checks the number. */
    public WeightVersion {
        if (number < 0) {
            throw new IllegalArgumentException("a weight version is not negative: " + number);
        }
    }

    @Override
    public int compareTo(WeightVersion other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
