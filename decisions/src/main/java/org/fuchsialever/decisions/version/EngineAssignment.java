package org.fuchsialever.decisions.version;

/** How the engines of a service are shared out to its models. */
public enum EngineAssignment {
    /** Each model has the same number of engines. */
    EQUAL {
        @Override
        public boolean goesByNeed(boolean slowdownReported) {
            return false;
        }
    },

    /** Each model has a share of the engines that follows its demand and their speeds. */
    NEED {
        @Override
        public boolean goesByNeed(boolean slowdownReported) {
            return true;
        }
    },

    /** As {@link #NEED} once an engine of the service has reported its slowdown. */
    AUTO {
        @Override
        public boolean goesByNeed(boolean slowdownReported) {
            return slowdownReported;
        }
    };

    /**
     * Returns whether the shares of a service follow demand and speeds.
     *
     * @param slowdownReported whether an upstream of the service has reported its slowdown
     */
    public abstract boolean goesByNeed(boolean slowdownReported);
}
