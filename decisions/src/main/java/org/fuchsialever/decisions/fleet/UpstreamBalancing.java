package org.fuchsialever.decisions.fleet;

/** What an instance balances the calls of a service by. */
public enum UpstreamBalancing {
    /** The expected time of completion where upstreams report their slowdown, else the load. */
    AUTO {
        @Override
        public boolean estimatesCompletion(ServiceProfile profile) {
            return profile.reportsSlowdown();
        }
    },
    /** The expected time of completion. */
    COMPLETION {
        @Override
        public boolean estimatesCompletion(ServiceProfile profile) {
            return true;
        }
    },
    /** The load per slot. */
    LOAD {
        @Override
        public boolean estimatesCompletion(ServiceProfile profile) {
            return false;
        }
    };

    /** Returns whether calls of a service go by the expected time of completion. */
    public abstract boolean estimatesCompletion(ServiceProfile profile);
}
