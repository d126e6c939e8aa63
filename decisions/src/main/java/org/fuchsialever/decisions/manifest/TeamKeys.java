package org.fuchsialever.decisions.manifest;

import java.util.List;

/**
 * A team with the keys that authenticate its callers.
 *
 * @param team name of the team
 * @param keys the accepted keys
 * @param priority priority of its calls, 0 is the most urgent; negative if the team has none of its
 *     own
 */
public record TeamKeys(String team, List<String> keys, int priority) {

    /** Copies the list. */
    public TeamKeys {
        keys = List.copyOf(keys);
    }
}
