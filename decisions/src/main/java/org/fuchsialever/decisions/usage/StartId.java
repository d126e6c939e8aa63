package org.fuchsialever.decisions.usage;

import org.fuchsialever.decisions.model.InstanceId;

/**
 * One start of an instance.
 *
 * @param instance the instance
 * @param start identity of the start
 */
public record StartId(InstanceId instance, String start) implements Comparable<StartId> {

    /** Returns the text used in keys. */
    public String label() {
        return instance.value() + "/" + start;
    }

    @Override
    public int compareTo(StartId other) {
        return label().compareTo(other.label());
    }
}
