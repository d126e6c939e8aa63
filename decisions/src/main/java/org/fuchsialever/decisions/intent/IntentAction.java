package org.fuchsialever.decisions.intent;

import java.util.List;

/** Action of an {@link IntentMachine}. */
public sealed interface IntentAction<C extends IntentCommand> {

    /** Read the journal of the role. */
    record ReadJournal<C extends IntentCommand>(long fencing) implements IntentAction<C> {}

    /**
     * Write the journal on the condition that its version and the guard row of the lease have not
     * changed.
     *
     * @param fencing fencing token of that lease
     * @param writer ID of the write, which is the same for all retries
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

    /** Send a command on a new connection if the lease with this fencing token is still held. */
    record SendCommand<C extends IntentCommand>(long fencing, int attempt, Intent<C> intent)
            implements IntentAction<C> {}

    /** An intent has ended, and its target accepts a new one. */
    record Completed<C extends IntentCommand>(Intent<C> intent, CommandResult result)
            implements IntentAction<C> {}
}
