package org.fuchsialever.decisions.forward;

/** Origin of a call, which determines how it is queued and retried. */
public enum ForwardCallKind {
    /** A call of a caller who waits for the response. */
    LIVE {
        @Override
        public int maxInProgress() {
            return 4_000;
        }

        @Override
        long latestSentNanos(ForwardCall call, long now) {
            return call.arrivedNanos();
        }

        @Override
        boolean followsDomainShare() {
            return true;
        }

        @Override
        boolean takesFailures() {
            return true;
        }

        @Override
        double maxUtilization() {
            return 3.0;
        }

        @Override
        int queueStage() {
            return 0;
        }

        @Override
        boolean waitsForSlot() {
            return false;
        }
    },
    /** Generates the text of a batch item; continues at another upstream after a fault. */
    ITEM {
        @Override
        double maxUtilization() {
            return 1.0;
        }

        @Override
        double loadStep() {
            return 0;
        }

        @Override
        double paceWeight(boolean expectedLong) {
            return expectedLong ? 10.0 : 0;
        }

        @Override
        boolean movesWhileRunning() {
            return true;
        }

        @Override
        int queueStage() {
            return 2;
        }

        @Override
        boolean waitsForSlot() {
            return true;
        }
    },
    /** Scores a generated text; leaves one slot in six free for live calls. */
    SCORE {
        @Override
        double maxUtilization() {
            return 0.85;
        }

        @Override
        int queueStage() {
            return 1;
        }

        @Override
        boolean waitsForSlot() {
            return true;
        }
    };

    /**
     * Returns the number of calls in progress from which on an instance refuses further ones. Items
     * and their scoring are bounded by the owner of their submission, which keeps those that it has
     * not begun.
     */
    public int maxInProgress() {
        return Integer.MAX_VALUE;
    }

    /** Returns the load per slot from which on an upstream gets no call of this kind. */
    abstract double maxUtilization();

    /** Returns the step of load per slot below which upstreams count as equally loaded. */
    double loadStep() {
        return 0.5;
    }

    /**
     * Returns the weight of the upstream's pace, in load per slot. Short items leave the slots of
     * the fastest upstreams to long ones.
     *
     * @param expectedLong whether the call probably takes much longer than most
     */
    double paceWeight(boolean expectedLong) {
        return 0;
    }

    /**
     * Returns whether a call runs in the failure domain that the share of leaving calls assigns to
     * it. The owner of a submission runs the items of all callers, so these and their scoring are
     * spread over all domains, and only the cost of the hop counts.
     */
    boolean followsDomainShare() {
        return false;
    }

    /** Returns whether a running call goes on elsewhere after the last event it has received. */
    boolean movesWhileRunning() {
        return false;
    }

    /**
     * Returns when the caller sent a call at the latest, in monotonic nanoseconds. The items of a
     * submission and their scoring count as sent when an upstream is chosen.
     */
    long latestSentNanos(ForwardCall call, long now) {
        return now;
    }

    /** Returns whether the caller is given an upstream's response that reports a failure. */
    boolean takesFailures() {
        return false;
    }

    /** Returns whether a call is queued until an upstream has a free slot, not refused. */
    abstract boolean waitsForSlot();

    /** Returns the place among waiting calls of equal rank; smaller values go first. */
    abstract int queueStage();
}
