package org.fuchsialever.decisions.forward;

/**
 * Who asks for a call, how urgent it is and how much it generates.
 *
 * @param team the team that the call runs for, empty if it runs for none
 * @param rank rank of the call among the teams and routes of a service, 0 is the most urgent
 * @param expectedTokens estimate of the tokens that it generates, often far off; 0 if there is none
 * @param bodyBytes size of its body in bytes, 0 if that is unknown
 */
public record CallTraits(String team, int rank, long expectedTokens, long bodyBytes) {
    /** Traits of a call of which nothing is known. */
    public static final CallTraits UNKNOWN = new CallTraits("", 0, 0);

    /** Creates the traits of a call with a body of unknown size. */
    public CallTraits(String team, int rank, long expectedTokens) {
        this(team, rank, expectedTokens, 0);
    }
}
