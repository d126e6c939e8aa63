package org.fuchsialever.benchmarks.stragglers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.fuchsialever.decisions.samples.LengthPredictor;
import org.fuchsialever.decisions.samples.StragglerPolicy;

/** Runs the samples of one step at a few engines, in ticks of a simulated clock. */
final class SimulatedStep {
    private static final int ENGINES = 6;
    private static final int SLOTS = 16;
    private static final long TICK_MILLIS = 50;
    private static final double TOKEN_MILLIS = 10;

    /** Each further sample at an engine makes a token take this much longer. */
    private static final double LOAD_FACTOR = 0.03;

    /** Tokens whose time is lost when a sample is moved, because its text is read again. */
    private static final double MOVE_TOKENS = 20;

    private final StragglerPolicy mPolicy;
    private final LengthPredictor mPredictor;
    private final ToDoubleFunction<String> mLengths;
    private final int[] mLoad = new int[ENGINES];
    private final List<SimulatedSample> mRunning = new ArrayList<>();
    private final Set<Integer> mFinished = new HashSet<>();
    private final Set<Integer> mDuplicated = new HashSet<>();
    private double mGeneratedTokens;
    private double mTypicalMillis;
    private long mNow;

    SimulatedStep(
            StragglerPolicy policy, LengthPredictor predictor, ToDoubleFunction<String> lengths) {
        mPolicy = policy;
        mPredictor = predictor;
        mLengths = lengths;
    }

    /**
     * Runs all samples.
     *
     * @param prompts the prompt of each sample
     * @param drawn the length of each sample in tokens
     * @return the duration of the step in milliseconds
     */
    long run(List<String> prompts, double[] drawn) {
        List<Integer> waiting = new ArrayList<>();
        for (int number = 0; number < drawn.length; number++) {
            waiting.add(number);
        }
        waiting.sort(Comparator.comparingInt(number -> -rank(prompts.get(number))));
        while (mFinished.size() < drawn.length) {
            int engine = leastLoaded();
            while (!waiting.isEmpty() && mLoad[engine] < SLOTS) {
                int number = waiting.remove(0);
                start(number, prompts.get(number), drawn[number], engine);
                engine = leastLoaded();
            }
            move();
            duplicate(drawn.length);
            tick();
        }
        return mNow;
    }

    /** Returns the tokens that engines generated, including those of runs that were cancelled. */
    double generatedTokens() {
        return mGeneratedTokens;
    }

    private int rank(String prompt) {
        int predicted = mPredictor.predict(prompt);
        return mPolicy.rank(predicted)
                + mPolicy.urgencyBoost(predicted, mPredictor.averageTokens());
    }

    private void start(int number, String prompt, double length, int engine) {
        mRunning.add(new SimulatedSample(number, prompt, length, mNow, engine));
        mLoad[engine]++;
    }

    private void move() {
        for (SimulatedSample sample : mRunning) {
            int target = leastLoaded();
            if (mPolicy.shouldMove(mLoad[sample.mEngine], mLoad[target])) {
                mLoad[sample.mEngine]--;
                mLoad[target]++;
                sample.mEngine = target;
                sample.mLeft += MOVE_TOKENS;
            }
        }
    }

    private void duplicate(int total) {
        double unfinished = (double) (total - mFinished.size()) / total;
        for (SimulatedSample sample : List.copyOf(mRunning)) {
            StragglerPolicy.RunningSample late =
                    new StragglerPolicy.RunningSample(
                            TimeUnit.MILLISECONDS.toNanos(mNow - sample.mStartedMillis),
                            TimeUnit.MILLISECONDS.toNanos((long) mTypicalMillis),
                            unfinished,
                            total,
                            mDuplicated.size());
            int engine = leastLoaded();
            if (mLoad[engine] < SLOTS
                    && !mDuplicated.contains(sample.mNumber)
                    && mPolicy.shouldDuplicate(late)) {
                mDuplicated.add(sample.mNumber);
                start(
                        sample.mNumber,
                        sample.mPrompt,
                        mLengths.applyAsDouble(sample.mPrompt),
                        engine);
            }
        }
    }

    private void tick() {
        mNow += TICK_MILLIS;
        for (SimulatedSample sample : mRunning) {
            double tokenMillis = TOKEN_MILLIS * (1 + LOAD_FACTOR * (mLoad[sample.mEngine] - 1));
            double tokens = TICK_MILLIS / tokenMillis;
            sample.mLeft -= tokens;
            mGeneratedTokens += tokens;
        }
        for (SimulatedSample sample : List.copyOf(mRunning)) {
            if (sample.mLeft <= 0 && mFinished.add(sample.mNumber)) {
                mPredictor.observe(sample.mPrompt, (int) sample.mLength);
                double elapsed = mNow - sample.mStartedMillis;
                mTypicalMillis =
                        mTypicalMillis == 0 ? elapsed : 0.95 * mTypicalMillis + 0.05 * elapsed;
            }
        }
        mRunning.removeIf(
                sample -> {
                    boolean over = mFinished.contains(sample.mNumber);
                    mLoad[sample.mEngine] -= over ? 1 : 0;
                    return over;
                });
    }

    private int leastLoaded() {
        int best = 0;
        for (int engine = 1; engine < ENGINES; engine++) {
            best = mLoad[engine] < mLoad[best] ? engine : best;
        }
        return best;
    }
}
