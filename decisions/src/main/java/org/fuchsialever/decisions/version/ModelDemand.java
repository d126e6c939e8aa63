package org.fuchsialever.decisions.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Estimates the tokens per second that the submissions of each model ask for: the rate at which
 * work arrives plus a part of the work that is still open. A trainer that waits for its engines
 * submits less often, so the rate alone would take engines from the model that lacks them.
 */
public final class ModelDemand {
    /** Time after which the weight of an earlier amount of open work has halved. */
    private static final double OPEN_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(8);

    /** Open work asks for as many tokens per second as would finish it within this time. */
    private static final double OPEN_WORK_SECONDS = 4;

    /** Submissions of several trainers within this time count as one. */
    private static final long ROUND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time between the submissions of a trainer that has made only one. */
    private static final double FIRST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** A new model counts like the mean of the others for this long after their first one. */
    private static final long UNKNOWN_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final Map<String, ModelLoad> mModels = new HashMap<>();
    private final Map<String, KnownSubmission> mSubmissions = new HashMap<>();
    private final Average mTokensPerItem = new Average();
    private long mFirstSubmitted = Duty.NO_TIMER;

    /**
     * Takes note of submissions.
     *
     * @param changed submissions that are new or have made progress
     * @param removed IDs of submissions that no longer exist
     */
    public void update(
            Collection<SubmissionLoad> changed, Collection<String> removed, long nowNanos) {
        List<SubmissionLoad> inOrder = new ArrayList<>(changed);
        inOrder.sort(Comparator.comparingLong(SubmissionLoad::submittedNanos));
        for (SubmissionLoad load : inOrder) {
            ModelLoad model = mModels.computeIfAbsent(load.model(), name -> new ModelLoad());
            KnownSubmission before = mSubmissions.get(load.id());
            double tokensPerItem = before == null ? arrived(load, model) : before.tokensPerItem;
            KnownSubmission now =
                    new KnownSubmission(load.model(), tokensPerItem, load.openItemCount());
            mSubmissions.put(load.id(), now);
            model.addOpen(now.openTokens() - (before == null ? 0 : before.openTokens()), nowNanos);
        }
        for (String id : removed) {
            KnownSubmission gone = mSubmissions.remove(id);
            if (gone != null) {
                mModels.computeIfAbsent(gone.model, name -> new ModelLoad())
                        .addOpen(-gone.openTokens(), nowNanos);
            }
        }
    }

    /**
     * Returns the demand of models in tokens per second.
     *
     * @return an entry for each model, or none at all while the demand of no model is known
     */
    public Map<String, Double> of(Collection<String> models, long nowNanos) {
        Map<String, Double> demand = new TreeMap<>();
        double sum = 0;
        for (String name : models) {
            ModelLoad model = mModels.get(name);
            if (model != null && model.isKnown()) {
                double tokensPerSecond = model.tokensPerSecond(nowNanos);
                demand.put(name, tokensPerSecond);
                sum += tokensPerSecond;
            }
        }
        if (!demand.isEmpty()) {
            boolean recent = nowNanos - mFirstSubmitted < UNKNOWN_NANOS;
            double ofUnknown = recent ? sum / demand.size() : 0;
            models.forEach(name -> demand.putIfAbsent(name, ofUnknown));
        }
        return demand;
    }

    /** Returns the tokens for each item. */
    private double arrived(SubmissionLoad load, ModelLoad model) {
        double tokensPerItem = mTokensPerItem.value(1);
        if (load.expectedTokens() > 0 && load.itemCount() > 0) {
            tokensPerItem = (double) load.expectedTokens() / load.itemCount();
            mTokensPerItem.add(tokensPerItem);
        }
        model.arrived(tokensPerItem * load.itemCount(), load.submittedNanos());
        mFirstSubmitted = Math.min(mFirstSubmitted, load.submittedNanos());
        return tokensPerItem;
    }

    private record KnownSubmission(String model, double tokensPerItem, int openItems) {
        double openTokens() {
            return tokensPerItem * openItems;
        }
    }

    /** An average of all values at first, later one in which a value halves after three more. */
    private static final class Average {
        private static final double MIN_WEIGHT = 1 - Math.cbrt(0.5);

        private double mValue;
        private int mCount;

        void add(double value) {
            mCount++;
            mValue += Math.max(MIN_WEIGHT, 1.0 / mCount) * (value - mValue);
        }

        double value(double ifUnknown) {
            return mCount == 0 ? ifUnknown : mValue;
        }
    }

    private static final class ModelLoad {
        private final Average mTokens = new Average();
        private final Average mIntervalNanos = new Average();
        private long mRoundSince = Duty.NO_TIMER;
        private double mRoundTokens;
        private double mOpen;
        private double mOpenAverage;
        private long mOpenSince = Duty.NO_TIMER;

        void arrived(double tokens, long submittedNanos) {
            if (mRoundSince == Duty.NO_TIMER) {
                mRoundSince = submittedNanos;
            } else if (submittedNanos - mRoundSince >= ROUND_NANOS) {
                mTokens.add(mRoundTokens);
                mIntervalNanos.add(submittedNanos - mRoundSince);
                mRoundSince = submittedNanos;
                mRoundTokens = 0;
            }
            mRoundTokens += tokens;
        }

        void addOpen(double tokens, long nowNanos) {
            mOpenAverage = openAverage(nowNanos);
            mOpenSince = nowNanos;
            mOpen = Math.max(0, mOpen + tokens);
        }

        boolean isKnown() {
            return mRoundSince != Duty.NO_TIMER;
        }

        double tokensPerSecond(long nowNanos) {
            // A step that comes late counts only once it is later than the whole interval.
            double idle = (nowNanos - mRoundSince) / 2.0;
            double interval = Math.max(idle, mIntervalNanos.value(FIRST_INTERVAL_NANOS));
            double arriving = mTokens.value(mRoundTokens) * TimeUnit.SECONDS.toNanos(1) / interval;
            return arriving + openAverage(nowNanos) / OPEN_WORK_SECONDS;
        }

        private double openAverage(long nowNanos) {
            if (mOpenSince == Duty.NO_TIMER) {
                return mOpenAverage;
            }
            double kept = Math.pow(0.5, (nowNanos - mOpenSince) / OPEN_HALF_LIFE_NANOS);
            return mOpen + kept * (mOpenAverage - mOpen);
        }
    }
}
