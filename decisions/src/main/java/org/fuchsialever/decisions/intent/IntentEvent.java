package org.fuchsialever.decisions.intent;

import io.vavr.control.Option;

/**
 * Event of an {@link IntentMachine}. The result of an action has the fencing token or the writer of
 * that action.
 */
public sealed interface IntentEvent<C extends IntentCommand> {

    /** The lease of the role was acquired. */
    record LeaseAcquired<C extends IntentCommand>(long fencing) implements IntentEvent<C> {}

    /** The lease of the role was lost. */
    record LeaseLost<C extends IntentCommand>() implements IntentEvent<C> {}

    /** The journal was read; the read may be stale. */
    record JournalRead<C extends IntentCommand>(long fencing, Journal<C> journal)
            implements IntentEvent<C> {}

    /** The journal could not be read. */
    record ReadFailed<C extends IntentCommand>(long fencing) implements IntentEvent<C> {}

    /** A write took effect. */
    record Committed<C extends IntentCommand>(String writer, long version)
            implements IntentEvent<C> {}

    /**
     * A write conflicted.
     *
     * @param current the current journal, or none if the guard row has changed
     */
    record Conflicted<C extends IntentCommand>(String writer, Option<Journal<C>> current)
            implements IntentEvent<C> {}

    /** The outcome of a write is unknown. */
    record WriteOutcomeUnknown<C extends IntentCommand>(String writer) implements IntentEvent<C> {}

    /** An attempt to execute a command has ended. */
    record AttemptEnded<C extends IntentCommand>(
            long fencing, String id, int attempt, CommandResult result) implements IntentEvent<C> {}
}
