package org.fuchsialever.decisions.config;

/** Priority class of the requests of a route. */
public enum Priority {
    /** Somebody waits for the answer. */
    LIVE(100),
    /** Work for trainers. */
    ROLLOUT(0);

    private final int engineValue;

    Priority(int engineValue) {
        this.engineValue = engineValue;
    }

    /** Returns the number that engines are given; higher goes first. */
    public int engineValue() {
        return engineValue;
    }
}
