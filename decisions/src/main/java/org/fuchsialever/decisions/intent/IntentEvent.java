package org.fuchsialever.decisions.intent;

import io.vavr.control.Option;

/** Input of an intent machine. Each event names the fencing number of the action it answers. */
public sealed interface IntentEvent<C extends IntentCommand> {

    /** The role is held from now on. */
    record LeaseAcquired<C extends IntentCommand>(long fencing) implements IntentEvent<C> {}

    /** The role is not held any more. */
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
     * @param writer identity of the write
     * @param current the present journal, or none if it is the guard row that has changed
     */
    record Conflicted<C extends IntentCommand>(String writer, Option<Journal<C>> current)
            implements IntentEvent<C> {}

    /** The result of a write is not known. */
    record WriteOutcomeUnknown<C extends IntentCommand>(String writer) implements IntentEvent<C> {}

    /** An attempt has ended. */
    record AttemptEnded<C extends IntentCommand>(
            long fencing, String id, int attempt, CommandResult result) implements IntentEvent<C> {}
}
