package org.fuchsialever.decisions.usage;

import java.util.Locale;

/** Why an upstream worked, which decides who pays for the work. */
public enum UsageClass {
    /** The whole answer was delivered. */
    COMPLETED {
        @Override
        public UsageCounts chargedToTeam(UsageCounts used) {
            return used;
        }
    },
    /** The caller left; the team pays for the work that was done until then. */
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
    /** An attempt that ran beside another one, whose answer was used. */
    HEDGED {
        @Override
        public UsageCounts chargedToTeam(UsageCounts used) {
            return UsageCounts.ZERO;
        }
    },
    /** The last attempt of a request without a whole answer. */
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
