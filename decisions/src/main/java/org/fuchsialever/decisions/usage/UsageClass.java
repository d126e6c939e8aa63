package org.fuchsialever.decisions.usage;

import java.util.Locale;

/** Outcome of an attempt at an upstream, which decides who pays for it. */
public enum UsageClass {
    /** The complete response was delivered. */
    COMPLETED {
        @Override
        public UsageCounts chargedToTeam(UsageCounts used) {
            return used;
        }
    },
    /** The caller disconnected; the team pays for the work done until then. */
    CANCELLED {
        @Override
        public UsageCounts chargedToTeam(UsageCounts used) {
            return used;
        }
    },
    /** An attempt that failed and was followed by another one. */
    RETRIED {
        @Override
        public UsageCounts chargedToTeam(UsageCounts used) {
            return UsageCounts.ZERO;
        }
    },
    /** An attempt that ran in parallel with another one, whose response was used. */
    HEDGED {
        @Override
        public UsageCounts chargedToTeam(UsageCounts used) {
            return UsageCounts.ZERO;
        }
    },
    /** The last attempt of a request that got no complete response. */
    FAILED {
        @Override
        public UsageCounts chargedToTeam(UsageCounts used) {
            return UsageCounts.ZERO;
        }
    };

    /** Returns the part that the team pays; the operator of the service pays the rest. */
    public abstract UsageCounts chargedToTeam(UsageCounts used);

    /** Returns the name used in rows and reports. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the class with a label.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static UsageClass ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }
}
