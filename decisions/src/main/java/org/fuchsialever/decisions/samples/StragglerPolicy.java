package org.fuchsialever.decisions.samples;

import java.util.Locale;
import org.fuchsialever.kernel.plugin.Plugin;

/** Handling of the few samples that take far longer than the others of a step. */
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
     * Samples that are predicted to be long get a higher urgency. A running sample is moved to an
     * engine that then runs at most half as many samples as the present one.
     */
    MOVE_TO_IDLE {
        @Override
        public int urgencyBoost(int predictedTokens, double typicalTokens) {
            return typicalTokens > 0 && predictedTokens > LONG_SAMPLE_FACTOR * typicalTokens
                    ? URGENCY_BOOST
                    : 0;
        }

        @Override
        public boolean shouldMove(int runningHere, int runningThere) {
            return 2 * (runningThere + 1) <= runningHere;
        }
    },
    /** The last samples of a step are generated a second time; the first result counts. */
    DUPLICATE_LATE {
        @Override
        public boolean shouldDuplicate(RunningSample sample) {
            return sample.unfinishedShare() <= END_OF_STEP_SHARE
                    && sample.averageNanos() > 0
                    && sample.elapsedNanos() > LONG_SAMPLE_FACTOR * sample.averageNanos()
                    && sample.duplicatesInStep() < MAX_DUPLICATE_SHARE * sample.samplesInStep();
        }
    };

    private static final double LONG_SAMPLE_FACTOR = 2;
    private static final int URGENCY_BOOST = 500;
    private static final double END_OF_STEP_SHARE = 0.1;

    /** One straggler is expected in 50 samples, so twice that share is duplicated at most. */
    private static final double MAX_DUPLICATE_SHARE = 0.04;

    @Override
    public String pluginName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the rank of a waiting group; the highest rank starts first. */
    public int rank(int predictedTokens) {
        return 0;
    }

    /** Returns what is added to the urgency of a sample. */
    public int urgencyBoost(int predictedTokens, double typicalTokens) {
        return 0;
    }

    /** Returns whether a sample is moved, given the number of samples running at both engines. */
    public boolean shouldMove(int runningHere, int runningThere) {
        return false;
    }

    /** Returns whether a second generation of a running sample is started. */
    public boolean shouldDuplicate(RunningSample sample) {
        return false;
    }

    /**
     * A running sample and its step.
     *
     * @param elapsedNanos time since the start of the sample, in nanoseconds
     * @param averageNanos average run time of a sample, in nanoseconds; 0 if unknown
     * @param unfinishedShare share of the step's samples that are not finished
     * @param samplesInStep number of samples of the step
     * @param duplicatesInStep number of samples of the step that were started a second time
     */
    public record RunningSample(
            long elapsedNanos,
            long averageNanos,
            double unfinishedShare,
            int samplesInStep,
            int duplicatesInStep) {}
}
