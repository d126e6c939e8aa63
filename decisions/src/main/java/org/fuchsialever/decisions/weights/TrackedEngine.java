package org.fuchsialever.decisions.weights;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.model.WeightVersion;

/** State of one engine as known to the weight duty. */
final class TrackedEngine {
    private static final long REPORT_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long INITIAL_RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 5;

    /** Time for which an engine stays on its earlier version after its last failed attempt. */
    private static final long FALLBACK_NANOS = TimeUnit.MINUTES.toNanos(1);

    final WeightEvent.Engine mEngine;

    private Option<WeightVersion> mReportedVersion = Option.none();
    private Option<WeightVersion> mPreviousVersion = Option.none();
    private String mStartId = "";
    private long mReportedAt;
    private Option<WeightVersion> mOrderedVersion = Option.none();
    private Option<Long> mAcceptedAt = Option.none();
    private WeightVersion mFailedVersion = new WeightVersion(0);
    private int mFailureCount;
    private long mNextAttemptAt = Long.MIN_VALUE;
    private long mFallbackUntil = Long.MIN_VALUE;

    TrackedEngine(WeightEvent.Engine engine) {
        mEngine = engine;
    }

    void onReport(WeightVersion version, String newStart, long now) {
        if (!newStart.equals(mStartId)) {
            // A restart aborts any load in progress.
            mAcceptedAt = Option.none();
            mNextAttemptAt = Long.MIN_VALUE;
        }
        mStartId = newStart;
        mReportedVersion = Option.some(version);
        mReportedAt = now;
        if (mOrderedVersion.contains(version)) {
            mOrderedVersion = Option.none();
            mAcceptedAt = Option.none();
            if (version.equals(mFailedVersion)) {
                mFailureCount = 0;
            }
        }
    }

    Option<WeightVersion> reportedVersion() {
        return mReportedVersion;
    }

    boolean serves(WeightVersion version) {
        return mReportedVersion.contains(version);
    }

    boolean isReachable(long now) {
        return mReportedVersion.isDefined() && now - mReportedAt <= REPORT_VALIDITY_NANOS;
    }

    /**
     * Returns the version that the engine should serve: its earlier version while the fallback
     * period after failed loads of the target lasts, else the target.
     */
    WeightVersion versionToServe(WeightVersion target, long now) {
        return now < mFallbackUntil && target.equals(mFailedVersion)
                ? mPreviousVersion.getOrElse(target)
                : target;
    }

    boolean isBackingOff(long now) {
        return now < mNextAttemptAt;
    }

    boolean isAwaitingReport() {
        return mAcceptedAt.isDefined();
    }

    boolean isLoadOverdue(long now, long timeoutNanos) {
        return mAcceptedAt.exists(at -> now - at > timeoutNanos);
    }

    void onOrdered(WeightVersion version) {
        if (!mReportedVersion.contains(version) && !mFailedVersion.equals(version)) {
            mPreviousVersion = mReportedVersion;
        }
        mOrderedVersion = Option.some(version);
        mAcceptedAt = Option.none();
    }

    Option<WeightVersion> orderedVersion() {
        return mOrderedVersion;
    }

    void onAccepted(long now) {
        if (mOrderedVersion.isDefined()) {
            mAcceptedAt = Option.some(now);
        }
    }

    /**
     * Records a failed load and returns whether it was the last attempt before the fallback period.
     */
    boolean onFailed(WeightVersion version, int attempts, long now) {
        mFailureCount = version.equals(mFailedVersion) ? mFailureCount + 1 : 1;
        mFailedVersion = version;
        mOrderedVersion = Option.none();
        mAcceptedAt = Option.none();
        mNextAttemptAt =
                now + (INITIAL_RETRY_DELAY_NANOS << Math.min(MAX_DOUBLINGS, mFailureCount - 1));
        boolean last = mFailureCount >= attempts;
        if (last) {
            mFallbackUntil = now + FALLBACK_NANOS;
            mFailureCount = 0;
        }
        return last;
    }
}
