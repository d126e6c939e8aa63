package org.fuchsialever.decisions.intent;

/** Command that an intent records for its receiver. */
public interface IntentCommand {

    /** Returns the name of the object of the command; it has at most one open intent. */
    String target();

    /** Returns the name of the receiver, which several targets may share. */
    String receiver();

    /** Returns whether the receiver refuses a command with an outdated fencing token. */
    boolean fencingEnforced();
}
