package org.fuchsialever.decisions.intent;

import java.util.List;

/**
 * Content of the journal row of a role.
 *
 * @param version version of the row, 0 if it does not exist
 * @param writer ID of the write that produced it
 * @param open the open intents
 */
public record Journal<C extends IntentCommand>(long version, String writer, List<Intent<C>> open) {

    /** Copies the intents. */
    public Journal {
        open = List.copyOf(open);
    }

    /** Returns the empty journal of a role without a row. */
    public static <C extends IntentCommand> Journal<C> absent() {
        return new Journal<>(0, "", List.of());
    }
}
