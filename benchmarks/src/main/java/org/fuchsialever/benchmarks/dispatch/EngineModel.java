package org.fuchsialever.benchmarks.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.WeightVersion;

/** An engine with slots, a queue, a fixed token rate and a prefix cache. */
final class EngineModel {
    private static final long PREFILL_NANOS_PER_TOKEN = TimeUnit.MICROSECONDS.toNanos(200);
    private static final double CACHED_PART = 0.9;

    private final Agenda mAgenda;
    private final UpstreamSpec mSpec;
    private final long mNanosPerToken;
    private final Map<Long, Boolean> mCache;
    private final Deque<Job> mQueue = new ArrayDeque<>();
    private int mRunning;
    private int mHits;
    private int mStarted;

    EngineModel(Agenda agenda, UpstreamSpec spec, long nanosPerToken, int cacheEntries) {
        mAgenda = agenda;
        mSpec = spec;
        mNanosPerToken = nanosPerToken;
        mCache =
                new LinkedHashMap<>(cacheEntries, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > cacheEntries;
                    }
                };
    }

    UpstreamSpec spec() {
        return mSpec;
    }

    Job submit(long prefix, int promptTokens, int tokens, Consumer<AttemptReport> done) {
        Job job = new Job(prefix, promptTokens, tokens, mAgenda.now(), done);
        mQueue.add(job);
        startNext();
        return job;
    }

    /** Stops a job at once; its slot becomes free. */
    void cancel(Job job) {
        job.mCancelled = true;
        if (!mQueue.remove(job) && job.mRuns) {
            job.mRuns = false;
            mRunning--;
            startNext();
        }
    }

    int busy() {
        return mRunning + mQueue.size();
    }

    int hits() {
        return mHits;
    }

    int started() {
        return mStarted;
    }

    LoadReport report(long ageNanos) {
        return new LoadReport(
                mRunning,
                mQueue.size(),
                mSpec.slots(),
                new WeightVersion(0),
                "start",
                false,
                ageNanos);
    }

    private void startNext() {
        while (mRunning < mSpec.slots() && !mQueue.isEmpty()) {
            Job job = mQueue.remove();
            job.mRuns = true;
            mRunning++;
            mStarted++;
            boolean hit = mCache.put(job.mPrefix, true) != null;
            mHits += hit ? 1 : 0;
            double prefill = job.mPromptTokens * (double) PREFILL_NANOS_PER_TOKEN;
            long firstToken = (long) (hit ? prefill * (1 - CACHED_PART) : prefill);
            long firstByte = mAgenda.now() + firstToken - job.mSubmittedAt;
            long service = firstToken + job.mTokens * mNanosPerToken;
            long total = mAgenda.now() + service - job.mSubmittedAt;
            mAgenda.after(service, () -> finish(job, firstByte, total));
        }
    }

    private void finish(Job job, long firstByte, long total) {
        if (job.mCancelled) {
            return;
        }
        job.mRuns = false;
        mRunning--;
        startNext();
        job.mDone.accept(
                new AttemptReport(
                        AttemptResult.COMPLETED, job.mPromptTokens, job.mTokens, firstByte, total));
    }

    /** One request at the engine. */
    static final class Job {
        private final long mPrefix;
        private final int mPromptTokens;
        private final int mTokens;
        private final long mSubmittedAt;
        private final Consumer<AttemptReport> mDone;
        private boolean mRuns;
        private boolean mCancelled;

        private Job(
                long prefix,
                int promptTokens,
                int tokens,
                long submittedAt,
                Consumer<AttemptReport> done) {
            mPrefix = prefix;
            mPromptTokens = promptTokens;
            mTokens = tokens;
            mSubmittedAt = submittedAt;
            mDone = done;
        }
    }
}
