package org.fuchsialever.decisions.intent;

/**
 * An act that is recorded before it is carried out.
 *
 * @param id identity; every repeat carries the same one
 * @param fencing fencing number under which it was recorded
 * @param command what is to be done
 */
public record Intent<C extends IntentCommand>(String id, long fencing, C command) {}
