package org.fuchsialever.decisions.fleet;

/** Worth of information by its age. */
final class Decay {
    private Decay() {}

    /** Returns 1 for new information, 1/e at the given lifetime, and less for older one. */
    static double weight(long ageNanos, long lifetimeNanos) {
        return Math.exp(-(double) Math.max(0, ageNanos) / lifetimeNanos);
    }
}
