package org.fuchsialever.decisions.intent;

import java.util.List;

/**
 * The journal row of a role.
 *
 * @param version its version, 0 if it has not been written
 * @param writer identity of the commit that wrote it
 * @param openIntents the open intents
 */
public record Journal<C extends IntentCommand>(
        long version, String writer, List<Intent<C>> openIntents) {

    /** Copies the intents. */
    public Journal {
        openIntents = List.copyOf(openIntents);
    }

    /** Returns the journal of a role that has no row. */
    public static <C extends IntentCommand> Journal<C> absent() {
        return new Journal<>(0, "", List.of());
    }
}
