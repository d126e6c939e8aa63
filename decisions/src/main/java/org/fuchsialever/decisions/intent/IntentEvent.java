package org.fuchsialever.decisions.intent;

import io.vavr.control.Option;

/**
 * Event of an {@link IntentMachine}. The result of an action has the fencing token or the writer of
 * that action.
 */
public sealed interface IntentEvent<C extends IntentCommand> {

    /** The lease of the role was acquired. */
    record Gained<C extends IntentCommand>(long fencing) implements IntentEvent<C> {}

    /** The lease of the role was lost. */
    record Lost<C extends IntentCommand>() implements IntentEvent<C> {}

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
     * @param present the current journal, or none if the guard row has changed
     */
    record Conflicted<C extends IntentCommand>(String writer, Option<Journal<C>> present)
            implements IntentEvent<C> {}

    /** The outcome of a write is unknown. */
    record Unanswered<C extends IntentCommand>(String writer) implements IntentEvent<C> {}

    /** An attempt to execute a command has ended. */
    record Attempted<C extends IntentCommand>(
            long fencing, String id, int attempt, ActResult result) implements IntentEvent<C> {}
}
