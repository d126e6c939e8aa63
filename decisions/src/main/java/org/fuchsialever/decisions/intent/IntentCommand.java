package org.fuchsialever.decisions.intent;

/** What an intent asks of its receiver. */
public interface IntentCommand {

    /** Returns the name of what is acted on; it has at most one open intent. */
    String target();

    /** Returns the name of the receiver; several targets may have the same one. */
    String receiver();

    /** Returns whether the receiver refuses an act with an old fencing number. */
    boolean fencingEnforced();
}
