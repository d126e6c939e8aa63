package org.fuchsialever.decisions.fleet;

import java.util.concurrent.TimeUnit;

/** Expected time until a call ends at an upstream, from what is known of both at a moment. */
public final class CompletionTime {
    /** Share by which work takes longer at an upstream whose slots are all taken. */
    private static final double LOAD_SLOPE = 0.15;

    /** Factor for an upstream at which a call took longer than usual for its kind. */
    private static final double SLOW_FACTOR = 2;

    /** Time to read a prompt of unknown length that is not cached. */
    private static final long PROMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** About how long neighbours slow a machine at a time. */
    private static final long SLOWDOWN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final ServiceProfile mProfile;
    private final long mNow;

    /** Creates an estimator for the upstreams of a service, as of a moment. */
    public CompletionTime(ServiceProfile profile, long now) {
        mProfile = profile;
        mNow = now;
    }

    /**
     * Returns the expected time until a call ends that is sent to an upstream now.
     *
     * @param workNanos the time that it takes at a typical upstream
     * @param readsPrompt whether the upstream has to read a prompt that it has not cached
     */
    public long nanos(UpstreamState upstream, long workNanos, boolean readsPrompt) {
        double speed = mProfile.speedFactor(upstream, mNow);
        double wait = waitNanos(upstream, speed);
        double run = runNanos(upstream, workNanos, speed);
        return (long) (wait + run + slowdownNanos(upstream, wait + run))
                + (readsPrompt ? PROMPT_NANOS : 0);
    }

    /** Returns the expected time until a call ends that already runs at an upstream. */
    public long remainingNanos(UpstreamState upstream, long workNanos) {
        double run = runNanos(upstream, workNanos, mProfile.speedFactor(upstream, mNow));
        return (long) (run + slowdownNanos(upstream, run));
    }

    /** Returns the estimated number of calls at an upstream, including those of others. */
    public double load(UpstreamState upstream) {
        return upstream.inFlight() + upstream.otherCalls(mProfile.typicalNanos(), mNow);
    }

    /** Returns the time at a typical upstream for what an upstream has done in a time. */
    public long workDoneNanos(UpstreamState upstream, long elapsedNanos) {
        return (long) (elapsedNanos / mProfile.speedFactor(upstream, mNow));
    }

    private double waitNanos(UpstreamState upstream, double speed) {
        int slots = slots(upstream);
        double ahead = Math.max(0, load(upstream) + 1 - slots);
        return ahead / slots * mProfile.typicalNanos() * speed;
    }

    private double runNanos(UpstreamState upstream, long workNanos, double speed) {
        double crowding = 1 + LOAD_SLOPE * Math.min(1, load(upstream) / slots(upstream));
        return workNanos * speed * crowding * (upstream.isSlow(mNow) ? SLOW_FACTOR : 1);
    }

    /** A slowdown prolongs all work, but only while it lasts. */
    private double slowdownNanos(UpstreamState upstream, double nanos) {
        double excess = upstream.report().excess();
        double lost = Math.min(nanos * excess, SLOWDOWN_PERIOD_NANOS * excess / (1 + excess));
        return lost * upstream.report().slowdownWeight(mNow);
    }

    private static int slots(UpstreamState upstream) {
        return Math.max(1, upstream.spec().slots());
    }
}
