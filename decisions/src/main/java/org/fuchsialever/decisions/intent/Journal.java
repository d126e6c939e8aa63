package org.fuchsialever.decisions.intent;

import java.util.List;

/**
 * Content of the journal row of a role.
 *
 * @param version version of the row, 0 if it does not exist
 * @param writer ID of the write that produced it
 * @param openIntents the open intents
 */
public record Journal<C extends IntentCommand>(
        long version, String writer, List<Intent<C>> openIntents) {

    /** Copies the intents. */
    public Journal {
        openIntents = List.copyOf(openIntents);
    }

    /** Returns the empty journal of a role without a row. */
    public static <C extends IntentCommand> Journal<C> absent() {
        return new Journal<>(0, "", List.of());
    }
}
