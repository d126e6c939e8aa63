package org.fuchsialever.decisions.fleet;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** State of one upstream as observed by this instance. Single writer. */
public final class UpstreamState {
    /** Reported load is used this long; most of the calls it counts end within this time. */
    private static final long HINT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Duration of the first ejection after a failure; doubles with each further failure. */
    private static final long MIN_EJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Maximum ejection, about the time until a failed upstream leaves the list. */
    private static final long MAX_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Period for which an upstream that was slow to respond is avoided. */
    private static final long SLOW_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** First back-off after an upstream refused a call; doubles with each further refusal. */
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Maximum back-off, well below the second that a load of weights takes. */
    private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final int MAX_DOUBLINGS = 5;

    /** A measured pace is used this long, so that an upstream that was slow is tried again. */
    private static final long PACE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** The pace of a stream is the mean of many events. */
    private static final int PACE_MEMORY = 4;

    private static final double PACE_DOUBT = 0.25;

    /** The time of a single call says more about the call than about the upstream. */
    private static final int SERVICE_TIME_MEMORY = 12;

    private static final double SERVICE_TIME_DOUBT = 4;

    /** Bounds on the typical time of a call that a report of load is taken to last. */
    private static final long MIN_REPORT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final long MAX_REPORT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);

    private FleetUpstream mSpec;
    private final Map<String, Long> mObservedVersions = new HashMap<>();
    private int mInFlight;
    private int mOtherCalls;
    private long mOtherCallsUntil = Long.MIN_VALUE;
    private long mSuspendedUntil = Long.MIN_VALUE;
    private long mSlowUntil = Long.MIN_VALUE;
    private long mLastUsed = Long.MIN_VALUE;
    private long mPaceNanos;
    private long mPaceUntil = Long.MIN_VALUE;
    private final LoadReport mReport = new LoadReport();
    private final SpeedMeter mPace = new SpeedMeter(PACE_MEMORY, PACE_DOUBT);
    private final SpeedMeter mServiceTime = new SpeedMeter(SERVICE_TIME_MEMORY, SERVICE_TIME_DOUBT);
    private int mFailures;
    private int mRefusals;
    private boolean mListed = true;
    private Option<Long> mLeavingSince = Option.none();

    /** Creates the state of an upstream that has just been listed. */
    public UpstreamState(FleetUpstream spec) {
        mSpec = spec;
    }

    /** Returns the latest description of the upstream. */
    public FleetUpstream spec() {
        return mSpec;
    }

    /** Replaces the description; a restart under the same name clears versions and failures. */
    public void update(FleetUpstream newer) {
        if (newer.startedMillis() != mSpec.startedMillis()) {
            mObservedVersions.clear();
            mPaceUntil = Long.MIN_VALUE;
            mPace.clear();
            mServiceTime.clear();
            mFailures = 0;
            mSuspendedUntil = Long.MIN_VALUE;
        }
        mSpec = newer;
        mListed = true;
    }

    /** Marks the upstream as no longer listed. */
    public void markUnlisted() {
        mListed = false;
    }

    /** Sets since when the upstream is leaving by its own responses, none if it is not. */
    void setLeaving(Option<Long> sinceNanos) {
        mLeavingSince = sinceNanos;
    }

    /** Returns since when the upstream is leaving by its own responses, none if it is not. */
    Option<Long> leavingSince() {
        return mLeavingSince;
    }

    /** Returns whether the upstream is listed and accepts new calls by its description. */
    boolean isListedAsServing() {
        return mListed && mSpec.serving();
    }

    /** Returns whether the upstream is listed, accepts new calls and has not said it is leaving. */
    public boolean isServing() {
        return isListedAsServing() && mLeavingSince.isEmpty();
    }

    /** Returns whether a call may go to the upstream although it has said that it is leaving. */
    boolean servesWhileLeaving(long sentNanos, long leavingNanos, long now) {
        return isListedAsServing()
                && now >= mSuspendedUntil
                && mLeavingSince.exists(since -> sentNanos - since <= leavingNanos);
    }

    /** Returns whether the upstream is unlisted and runs no call of this instance any more. */
    public boolean isRemovable() {
        return !mListed && mInFlight == 0;
    }

    /** Returns whether the upstream may get a call now. */
    public boolean isAvailable(long now) {
        return isServing() && now >= mSuspendedUntil;
    }

    /** Returns when the ejection or back-off ends, in monotonic nanoseconds. */
    public long suspendedUntil() {
        return mSuspendedUntil;
    }

    /** Returns the newest weight version of a model in the description and in responses. */
    public long versionOf(String model) {
        return Math.max(mSpec.versionOf(model), mObservedVersions.getOrDefault(model, 0L));
    }

    /** Records the weight version that a response named. */
    public void observeVersion(String model, long version) {
        mObservedVersions.merge(model, version, Math::max);
    }

    /** Returns the number of calls of this instance that are running there. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the estimated number of calls there, including those of other instances. */
    public int load(long now) {
        return mInFlight + (now < mOtherCallsUntil ? mOtherCalls : 0);
    }

    /** Returns the load per slot. */
    public double utilization(long now) {
        return (double) load(now) / Math.max(1, mSpec.slots());
    }

    /** Returns whether the load that other instances cause there was reported lately. */
    public boolean isLoadKnown(long now) {
        return now < mOtherCallsUntil;
    }

    /** Returns how many times as long work probably takes there now, 1 for as usual. */
    public double slowdown(long now) {
        return 1 + mReport.excess() * mReport.slowdownWeight(now);
    }

    /** Records that a call was sent. */
    public void callStarted(long now) {
        mInFlight++;
        mLastUsed = now;
    }

    /** Returns when the last call was sent there, in monotonic nanoseconds. */
    public long lastUsed() {
        return mLastUsed;
    }

    /** Marks the upstream as slow because a call takes longer than usual for its kind. */
    public void markSlow(long now) {
        mSlowUntil = now + SLOW_PERIOD_NANOS;
    }

    /** Returns whether the upstream was marked as slow recently. */
    public boolean isSlow(long now) {
        return now < mSlowUntil;
    }

    /** Records the time that it took for each event of a stream, on average. */
    public void observePace(long nanosPerEvent, long now) {
        long known = paceNanos(now);
        mPaceNanos = known == 0 ? nanosPerEvent : (known + nanosPerEvent) / 2;
        mPaceUntil = now + PACE_LIFETIME_NANOS;
    }

    /** Returns the time for each event of a stream in nanoseconds, 0 if it is not known. */
    public long paceNanos(long now) {
        return now < mPaceUntil ? mPaceNanos : 0;
    }

    /** Records the load that the upstream reported in the response to a call that still runs. */
    public void observeReport(LoadHint hint, long now) {
        mReport.observe(hint, mInFlight, now);
    }

    /** Returns the last load that the upstream reported. */
    LoadReport report() {
        return mReport;
    }

    /** Returns the expected number of calls there of other instances. */
    double otherCalls(long callNanos, long now) {
        long lifetime =
                Math.max(MIN_REPORT_LIFETIME_NANOS, Math.min(callNanos, MAX_REPORT_LIFETIME_NANOS));
        return mReport.otherCalls(lifetime, now);
    }

    /** Records the mean time between the events of a stream, in nanoseconds. */
    public void observeStreamPace(long nanosPerEvent, long now) {
        mPace.observe(nanosPerEvent, now);
    }

    /** Records how long a call took, relative to the mean of its kind. */
    void observeServiceTime(double relative, long now) {
        mServiceTime.observe(relative, now);
    }

    /** Returns the measured time between the events of streams. */
    SpeedMeter pace() {
        return mPace;
    }

    /** Returns the measured time of calls, relative to the mean of their kind. */
    SpeedMeter serviceTime() {
        return mServiceTime;
    }

    /** Records that a call has ended, with the reported load and the verdict on the upstream. */
    public void callEnded(Option<LoadHint> hint, boolean failed, boolean refused, long now) {
        mInFlight--;
        hint.forEach(
                reported -> {
                    mOtherCalls =
                            Math.max(0, reported.running() + reported.waiting() - 1 - mInFlight);
                    mOtherCallsUntil = now + HINT_LIFETIME_NANOS;
                });
        if (failed) {
            int doublings = Math.min(mFailures++, MAX_DOUBLINGS);
            suspendUntil(now + Math.min(MIN_EJECTION_NANOS << doublings, MAX_EJECTION_NANOS));
        } else if (refused) {
            int doublings = Math.min(mRefusals++, MAX_DOUBLINGS);
            suspendUntil(now + Math.min(MIN_BACKOFF_NANOS << doublings, MAX_BACKOFF_NANOS));
        } else {
            mFailures = 0;
            mRefusals = 0;
        }
    }

    private void suspendUntil(long until) {
        mSuspendedUntil = Math.max(mSuspendedUntil, until);
    }
}
