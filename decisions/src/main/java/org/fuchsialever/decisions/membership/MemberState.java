package org.fuchsialever.decisions.membership;

/** State of an instance in the view of another one. The order is the precedence of reports. */
public enum MemberState {
    /** Heartbeats arrive, or nothing speaks against the instance. */
    ALIVE(true, true),
    /** Heartbeats are overdue; the instance may still prove that it is alive. */
    SUSPECT(true, false),
    /** The instance announced that it leaves; it takes no new work. */
    LEAVING(true, false),
    /** The instance was silent for the whole time of suspicion. */
    REMOVED(false, false);

    private final boolean listed;
    private final boolean takesWork;

    MemberState(boolean listed, boolean takesWork) {
        this.listed = listed;
        this.takesWork = takesWork;
    }

    /** Returns whether an instance in this state is still a member and receives messages. */
    public boolean isListed() {
        return listed;
    }

    /** Returns whether messages of an instance in this state have been arriving. */
    public boolean isReachable() {
        return this == ALIVE || this == LEAVING;
    }

    /** Returns whether an instance in this state may be given new work. */
    public boolean takesWork() {
        return takesWork;
    }

    /**
     * Returns whether a report of this state replaces a report of another one.
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
