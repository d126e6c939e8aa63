package org.fuchsialever.decisions.samples;

import java.util.Locale;
import org.fuchsialever.kernel.plugin.Plugin;

/** What is done about the few samples that take far longer than the others of a step. */
public enum StragglerPolicy implements Plugin {
    /** Groups are started in the order of submission. */
    NONE,
    /** Groups with the longest predicted samples are started first. */
    LONGEST_FIRST {
        @Override
        public int rank(int predictedTokens) {
            return predictedTokens;
        }
    },
    /**
     * Samples that are predicted to be long get a higher urgency, and a running one is moved to an
     * engine that has at most half as many samples.
     */
    MOVE_TO_IDLE {
        @Override
        public int urgencyBoost(int predictedTokens, double typicalTokens) {
            return typicalTokens > 0 && predictedTokens > LONG_FACTOR * typicalTokens
                    ? URGENCY_BOOST
                    : 0;
        }

        @Override
        public boolean shouldMove(int runningHere, int runningThere) {
            return 2 * (runningThere + 1) <= runningHere;
        }
    },
    /** The last samples of a step are started a second time; the first result counts. */
    DUPLICATE_LATE {
        @Override
        public boolean shouldDuplicate(RunningSample sample) {
            return sample.unfinishedShare() <= END_OF_STEP
                    && sample.averageNanos() > 0
                    && sample.elapsedNanos() > LONG_FACTOR * sample.averageNanos()
                    && sample.duplicatesInStep() < DUPLICATE_BUDGET * sample.samplesInStep();
        }
    };

    private static final double LONG_FACTOR = 2;
    private static final int URGENCY_BOOST = 500;
    private static final double END_OF_STEP = 0.1;

    /** One straggler is expected in 50 samples, so twice that share is duplicated at most. */
    private static final double DUPLICATE_BUDGET = 0.04;

    @Override
    public String pluginName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the rank of a group that waits to be started; the highest rank starts first. */
    public int rank(int predictedTokens) {
        return 0;
    }

    /** Returns what is added to the urgency of a sample. */
    public int urgencyBoost(int predictedTokens, double typicalTokens) {
        return 0;
    }

    /** Returns whether a sample is moved, given the samples that run at both engines. */
    public boolean shouldMove(int runningHere, int runningThere) {
        return false;
    }

    /** Returns whether a running sample is started a second time. */
    public boolean shouldDuplicate(RunningSample sample) {
        return false;
    }

    /**
     * A sample that runs, and its step.
     *
     * @param elapsedNanos how long it has been running, in nanoseconds
     * @param averageNanos how long a sample usually runs, in nanoseconds; 0 if not known
     * @param unfinishedShare share of the step's samples that are not finished
     * @param samplesInStep all samples of the step
     * @param duplicatesInStep samples of the step that were started a second time
     */
    public record RunningSample(
            long elapsedNanos,
            long averageNanos,
            double unfinishedShare,
            int samplesInStep,
            int duplicatesInStep) {}
}
