package org.fuchsialever.decisions.config;

/**
 * Status of the configuration of an instance.
 *
 * @param served the version in force, 0 if there is none
 * @param highestSeen the highest version that the table service or a peer has reported
 * @param freshness what shows that the version in force is the latest
 * @param ready whether the instance may serve callers with this configuration
 */
public record ConfigStatus(long served, long highestSeen, Freshness freshness, boolean ready) {
    /** The status of an instance that has just started. */
    public static final ConfigStatus NONE = new ConfigStatus(0, 0, Freshness.UNPROVEN, false);

    /** What shows that a version is the latest. */
    public enum Freshness {
        /** Neither the table service nor enough peers have confirmed a version since the start. */
        UNPROVEN(false),
        /** Enough peers have confirmed the version while the table service was unreachable. */
        FROM_PEERS(true),
        /** A conditional commit has shown that a read was not stale. */
        PROVEN(true);

        private final boolean mServable;

        Freshness(boolean servable) {
            mServable = servable;
        }

        /** Returns whether callers may be served with such a version. */
        public boolean isServable() {
            return mServable;
        }
    }
}
