package org.fuchsialever.decisions.intent;

/**
 * A command that is recorded before it is executed.
 *
 * @param id ID, which is the same for all attempts
 * @param fencing fencing token under which it was recorded
 */
public record Intent<C extends IntentCommand>(String id, long fencing, C command) {}
