package org.fuchsialever.decisions.membership;

/**
 * State of an instance as seen by another one. Of two reports with the same incarnation number, the
 * one with the later constant wins.
 */
public enum MemberState {
    /** Heartbeats arrive, or none is overdue yet. */
    ALIVE(true, true),
    /** Heartbeats are overdue; the instance may still prove that it is alive. */
    SUSPECT(true, false),
    /** The instance announced its shutdown and takes no new work. */
    LEAVING(true, false),
    /** Heartbeats stayed overdue for the whole suspicion timeout. */
    REMOVED(false, false);

    private final boolean mListed;
    private final boolean mTakesWork;

    MemberState(boolean listed, boolean takesWork) {
        mListed = listed;
        mTakesWork = takesWork;
    }

    /** Returns whether an instance in this state is still a member and receives messages. */
    public boolean isListed() {
        return mListed;
    }

    /** Returns whether the heartbeats of an instance in this state are not overdue. */
    public boolean isReachable() {
        return this == ALIVE || this == LEAVING;
    }

    /** Returns whether an instance in this state may be given new work. */
    public boolean takesWork() {
        return mTakesWork;
    }

    /**
     * Returns whether a report with this state supersedes a report with another one.
     *
     * @param incarnation the incarnation number of this report
     * @param other the state of the other report
     * @param otherIncarnation the incarnation number of the other report
     */
    public boolean replaces(long incarnation, MemberState other, long otherIncarnation) {
        return incarnation > otherIncarnation
                || incarnation == otherIncarnation && compareTo(other) > 0;
    }
}
