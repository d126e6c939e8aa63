package org.fuchsialever.decisions.config;

/** Priority class of the requests of a route. */
public enum Priority {
    /** Interactive requests: a caller waits for the response. */
    LIVE(100),
    /** Background requests of trainers. */
    ROLLOUT(0);

    private final int mEngineValue;

    Priority(int engineValue) {
        mEngineValue = engineValue;
    }

    /** Returns the priority value sent to engines; a higher one is scheduled first. */
    public int engineValue() {
        return mEngineValue;
    }
}
