package org.fuchsialever.decisions.intent;

import java.util.List;

/** Output of an intent machine. */
public sealed interface IntentAction<C extends IntentCommand> {

    /** Read the journal of the role. */
    record ReadJournal<C extends IntentCommand>(long fencing) implements IntentAction<C> {}

    /**
     * Write the journal on the condition of its version and of the guard row of the lease.
     *
     * @param fencing fencing number of that lease
     * @param writer identity of the write; a repeat carries the same one
     * @param expectedVersion version that the journal must have
     * @param openIntents the open intents
     */
    record WriteJournal<C extends IntentCommand>(
            long fencing, String writer, long expectedVersion, List<Intent<C>> openIntents)
            implements IntentAction<C> {

        /** Copies the intents. */
        public WriteJournal {
            openIntents = List.copyOf(openIntents);
        }
    }

    /** Send an act on a fresh connection if the lease with this fencing number is still held. */
    record SendCommand<C extends IntentCommand>(long fencing, int attempt, Intent<C> intent)
            implements IntentAction<C> {}

    /** An intent has ended and its target is free. */
    record Completed<C extends IntentCommand>(Intent<C> intent, CommandResult result)
            implements IntentAction<C> {}
}
