package org.fuchsialever.kernel.duty;

/** Receives the actions that a duty decides on. */
@FunctionalInterface
public interface ActionSink<A> {

    /** Accepts one action; must not block. */
    void emit(A action);
}
