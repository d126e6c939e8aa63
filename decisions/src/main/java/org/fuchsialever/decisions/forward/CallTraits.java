package org.fuchsialever.decisions.forward;

/**
 * Who asks for a call, how urgent it is, how much it generates and how long it may wait.
 *
 * @param team the team that the call runs for, empty if it runs for none
 * @param rank rank of the call among the teams and routes of a service, 0 is the most urgent
 * @param expectedTokens estimate of the tokens that it generates, often far off; 0 if there is none
 * @param cost what it takes of its team's share: its part of a step, 1 for a call on its own
 * @param maxWaitNanos how long a live call may wait here for a free slot, in nanoseconds
 * @param bodyBytes size of its body in bytes, 0 if that is unknown
 */
public record CallTraits(
        String team,
        int rank,
        long expectedTokens,
        double cost,
        long maxWaitNanos,
        long bodyBytes) {
    /** Traits of a call of which nothing is known. */
    public static final CallTraits UNKNOWN = new CallTraits("", 0, 0);

    /** Creates the traits of a call on its own that waits for no slot unless its kind does. */
    public CallTraits(String team, int rank, long expectedTokens) {
        this(team, rank, expectedTokens, 1, 0, 0);
    }
}
