package org.fuchsialever.decisions.manifest;

import java.util.List;

/**
 * A team with the keys that its callers may show.
 *
 * @param team its name
 * @param keys its keys
 * @param priority 0 is the most urgent; negative if the team has no priority of its own
 */
public record TeamKeys(String team, List<String> keys, int priority) {

    /** Copies the list. */
    public TeamKeys {
        keys = List.copyOf(keys);
    }
}
