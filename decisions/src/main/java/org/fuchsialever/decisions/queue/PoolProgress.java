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

    private final Map<String, Row> mRows = new HashMap<>();
    private double mFinished;
    private long mUpdatedNanos;

    /**
     * Records the state of a submission.
     *
     * @param id ID of the submission
     * @param resultCount the number of its items that have a result
     * @param openItems the number of its items that have none, 0 if it has ended
     */
    public void observe(String id, int resultCount, int openItems, long now) {
        Row previous = mRows.put(id, new Row(resultCount, openItems));
        if (previous != null && resultCount > previous.resultCount) {
            mFinished = decayed(now) + resultCount - previous.resultCount;
            mUpdatedNanos = now;
        }
    }

    /** Forgets a submission. */
    public void remove(String id) {
        mRows.remove(id);
    }

    /** Returns the number of items without a result in all submissions. */
    public int openItems() {
        return mRows.values().stream().mapToInt(Row::openItems).sum();
    }

    /** Returns the time in which all open items finish at the present rate, 0 if unknown. */
    public double secondsToFinish(long now) {
        double rate = decayed(now) / TIME_CONSTANT_SECONDS;
        return rate < 1 ? 0 : openItems() / rate;
    }

    private double decayed(long now) {
        double seconds = (double) (now - mUpdatedNanos) / TimeUnit.SECONDS.toNanos(1);
        return mFinished * Math.exp(-seconds / TIME_CONSTANT_SECONDS);
    }

    private record Row(int resultCount, int openItems) {}
}
