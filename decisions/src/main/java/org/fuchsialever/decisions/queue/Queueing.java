package org.fuchsialever.decisions.queue;

/** Selects by which rules the calls of a service wait and are refused. */
public enum Queueing {
    /** Fair for services whose upstreams report their slowdown, else by due time. */
    AUTO {
        @Override
        public boolean isFair(boolean slowdownReported) {
            return slowdownReported;
        }
    },
    /** By rank, share of the team and need of the step; live calls wait for a slot. */
    FAIR {
        @Override
        public boolean isFair(boolean slowdownReported) {
            return true;
        }
    },
    /** By due time alone; live calls do not wait. */
    DUE_TIME {
        @Override
        public boolean isFair(boolean slowdownReported) {
            return false;
        }
    };

    /**
     * Returns whether a service is queued fairly.
     *
     * @param slowdownReported whether an upstream of the service has reported its slowdown
     */
    public abstract boolean isFair(boolean slowdownReported);
}
