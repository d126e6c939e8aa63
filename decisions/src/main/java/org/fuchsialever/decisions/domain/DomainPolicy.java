package org.fuchsialever.decisions.domain;

/** For which services an instance prefers upstreams of its own failure domain. */
public enum DomainPolicy {
    /** For none: failure domains play no part in the choice. */
    OFF {
        @Override
        boolean appliesTo(boolean reportsSlowdown) {
            return false;
        }
    },
    /** For every service. */
    ON {
        @Override
        boolean appliesTo(boolean reportsSlowdown) {
            return true;
        }
    },
    /** For services whose upstreams report their slowdown, as room is known only of these. */
    AUTO {
        @Override
        boolean appliesTo(boolean reportsSlowdown) {
            return reportsSlowdown;
        }
    };

    /**
     * Returns whether the policy holds for a service.
     *
     * @param reportsSlowdown whether an upstream of the service has reported its slowdown
     */
    abstract boolean appliesTo(boolean reportsSlowdown);
}
