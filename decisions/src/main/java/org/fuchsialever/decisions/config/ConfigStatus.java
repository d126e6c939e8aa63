package org.fuchsialever.decisions.config;

/**
 * How the configuration of an instance stands.
 *
 * @param served the version in force, 0 if there is none
 * @param highestSeen the highest version that the table service or a peer has named
 * @param freshness how far the version in force can be trusted to be the latest
 * @param ready whether the instance may serve callers by this configuration
 */
public record ConfigStatus(long served, long highestSeen, Freshness freshness, boolean ready) {
    /** The status of an instance that has just started. */
    public static final ConfigStatus NONE = new ConfigStatus(0, 0, Freshness.UNPROVEN, false);

    /** How far a version can be trusted to be the latest. */
    public enum Freshness {
        /** Neither the table service nor enough peers have confirmed a version since the start. */
        UNPROVEN(false),
        /** Enough peers have named the version while the table service could not be reached. */
        FROM_PEERS(true),
        /** A conditional commit has shown that a read was the latest. */
        PROVEN(true);

        private final boolean servable;

        Freshness(boolean servable) {
            this.servable = servable;
        }

        /** Returns whether callers may be served. */
        public boolean isServable() {
            return servable;
        }
    }
}
