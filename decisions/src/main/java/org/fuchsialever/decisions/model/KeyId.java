package org.fuchsialever.decisions.model;

/**
 * ID of a caller's key; the public part of the key.
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
