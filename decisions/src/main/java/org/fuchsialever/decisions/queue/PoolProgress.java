package org.fuchsialever.decisions.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The open items of all submissions and the rate at which they finish, as the mirrored rows show
 * them. Single writer.
 */
public final class PoolProgress {
    /** Steps follow each other within seconds, and rows are up to a second old. */
    private static final double TIME_CONSTANT_SECONDS = 3;

    private final Map<String, OpenWork> mRows = new HashMap<>();
    private double mFinished;
    private long mUpdatedNanos;

    /**
     * Records the state of a submission.
     *
     * @param id ID of the submission
     * @param work what is done and left of it
     */
    public void observe(String id, OpenWork work, long now) {
        OpenWork previous = mRows.put(id, work);
        if (previous != null && work.results() > previous.results()) {
            mFinished = decayed(now) + work.results() - previous.results();
            mUpdatedNanos = now;
        }
    }

    /** Forgets a submission. */
    public void remove(String id) {
        mRows.remove(id);
    }

    /** Returns the number of items without a result in all submissions. */
    public int openItems() {
        return mRows.values().stream().mapToInt(OpenWork::openItems).sum();
    }

    /**
     * Returns the weights of teams whose open items are in part elsewhere, so that a team has one
     * share of the pool however many instances run its submissions.
     *
     * @return by team the part of its open items that is here, in steps of a quarter and at least
     *     that; teams whose items are all here are left out
     */
    public Map<String, Double> teamWeights() {
        Map<String, Integer> own = new HashMap<>();
        Map<String, Integer> all = new HashMap<>();
        for (OpenWork work : mRows.values()) {
            all.merge(work.team(), work.openItems(), Integer::sum);
            own.merge(work.team(), work.isOwn() ? work.openItems() : 0, Integer::sum);
        }
        Map<String, Double> weights = new HashMap<>();
        own.forEach(
                (team, items) -> {
                    int total = all.getOrDefault(team, 0);
                    double quarters = Math.ceil(4.0 * items / Math.max(1, total));
                    if (items > 0 && quarters < 4) {
                        weights.put(team, quarters / 4);
                    }
                });
        return weights;
    }

    /** Returns the time in which all open items finish at the present rate, 0 if unknown. */
    public double secondsToFinish(long now) {
        double rate = decayed(now) / TIME_CONSTANT_SECONDS;
        return rate < 1 ? 0 : openItems() / rate;
    }

    private double decayed(long now) {
        if (mFinished == 0) {
            return 0;
        }
        double seconds = (double) (now - mUpdatedNanos) / TimeUnit.SECONDS.toNanos(1);
        return mFinished * Math.exp(-seconds / TIME_CONSTANT_SECONDS);
    }
}
