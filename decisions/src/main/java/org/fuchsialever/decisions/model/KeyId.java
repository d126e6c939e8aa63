package org.fuchsialever.decisions.model;

/**
 * Public part of a caller's key.
 *
 * @param value the text, not empty
 */
public record KeyId(String value) implements Comparable<KeyId> {

    /** Checks the name. */
    public KeyId {
        Names.check(value);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
