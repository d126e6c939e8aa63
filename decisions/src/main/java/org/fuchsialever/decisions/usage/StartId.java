package org.fuchsialever.decisions.usage;

import org.fuchsialever.decisions.model.InstanceId;

/**
 * Identity of one start of an instance.
 *
 * @param start ID of the start within the instance
 */
public record StartId(InstanceId instance, String start) implements Comparable<StartId> {

    /** Returns the text used in row keys. */
    public String label() {
        return instance.value() + "/" + start;
    }

    @Override
    public int compareTo(StartId other) {
        return label().compareTo(other.label());
    }
}
