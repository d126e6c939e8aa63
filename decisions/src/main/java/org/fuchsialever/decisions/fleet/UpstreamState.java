package org.fuchsialever.decisions.fleet;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What this instance knows of one upstream. Single writer. */
public final class UpstreamState {
    /** Load told by an upstream is used this long; later its calls have mostly ended. */
    private static final long HINT_LIFETIME = TimeUnit.MILLISECONDS.toNanos(500);

    /** First period without calls after a failure; doubles with each further failure. */
    private static final long FIRST_EJECTION = TimeUnit.MILLISECONDS.toNanos(250);

    /** Longest period without calls, about the time until a lost upstream leaves the list. */
    private static final long LONGEST_EJECTION = TimeUnit.SECONDS.toNanos(4);

    /** An upstream that kept a call waiting is avoided this long. */
    private static final long SLOW_PERIOD = TimeUnit.SECONDS.toNanos(3);

    /** First period without calls after an upstream refused one; doubles with each further one. */
    private static final long REFUSAL_PAUSE = TimeUnit.MILLISECONDS.toNanos(50);

    /** Longest such period, well below the second that a load of weights takes. */
    private static final long LONGEST_REFUSAL_PAUSE = TimeUnit.MILLISECONDS.toNanos(300);

    private static final int MOST_DOUBLINGS = 5;

    private FleetUpstream spec;
    private final Map<String, Long> observedVersions = new HashMap<>();
    private int inFlight;
    private int foreign;
    private long foreignUntil = Long.MIN_VALUE;
    private long pausedUntil = Long.MIN_VALUE;
    private long slowUntil = Long.MIN_VALUE;
    private long lastUsed = Long.MIN_VALUE;
    private int failures;
    private int refusals;
    private boolean listed = true;

    /** Creates the state of an upstream that has just been listed. */
    public UpstreamState(FleetUpstream spec) {
        this.spec = spec;
    }

    /** Returns how the upstream describes itself. */
    public FleetUpstream spec() {
        return spec;
    }

    /** Takes a newer description. A restart under the same name clears what was observed. */
    public void update(FleetUpstream newer) {
        if (newer.startedMillis() != spec.startedMillis()) {
            observedVersions.clear();
            failures = 0;
            pausedUntil = Long.MIN_VALUE;
        }
        spec = newer;
        listed = true;
    }

    /** Notes that the upstream is no longer listed. */
    public void markUnlisted() {
        listed = false;
    }

    /** Returns whether new calls may go there. */
    public boolean isServing() {
        return listed && spec.serving();
    }

    /** Returns whether calls of this instance still run on an upstream that has left the list. */
    public boolean isRemovable() {
        return !listed && inFlight == 0;
    }

    /** Returns whether the upstream may get a call now. */
    public boolean isAvailable(long now) {
        return isServing() && now >= pausedUntil;
    }

    /** Returns when the pause after a failure ends, in monotonic nanoseconds. */
    public long pausedUntil() {
        return pausedUntil;
    }

    /** Returns the weight version of a model, by the newest of list and answers. */
    public long versionOf(String model) {
        return Math.max(spec.versionOf(model), observedVersions.getOrDefault(model, 0L));
    }

    /** Notes the weight version that an answer named. */
    public void observeVersion(String model, long version) {
        observedVersions.merge(model, version, Math::max);
    }

    /** Returns the calls of this instance that are running there. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns all calls that are probably there, those of other instances included. */
    public int load(long now) {
        return inFlight + (now < foreignUntil ? foreign : 0);
    }

    /** Returns the load per slot. */
    public double utilization(long now) {
        return (double) load(now) / Math.max(1, spec.slots());
    }

    /** Notes that a call was sent. */
    public void callStarted(long now) {
        inFlight++;
        lastUsed = now;
    }

    /** Returns when the last call was sent there, in monotonic nanoseconds. */
    public long lastUsed() {
        return lastUsed;
    }

    /** Notes that a call takes longer than calls of its kind usually do. */
    public void markSlow(long now) {
        slowUntil = now + SLOW_PERIOD;
    }

    /** Returns whether the upstream has lately kept a call waiting. */
    public boolean isSlow(long now) {
        return now < slowUntil;
    }

    /** Notes that a call has ended. */
    public void callEnded(Option<LoadHint> hint, boolean failed, boolean refused, long now) {
        inFlight--;
        hint.forEach(
                told -> {
                    foreign = Math.max(0, told.running() + told.waiting() - 1 - inFlight);
                    foreignUntil = now + HINT_LIFETIME;
                });
        if (failed) {
            int doublings = Math.min(failures++, MOST_DOUBLINGS);
            pause(now + Math.min(FIRST_EJECTION << doublings, LONGEST_EJECTION));
        } else if (refused) {
            int doublings = Math.min(refusals++, MOST_DOUBLINGS);
            pause(now + Math.min(REFUSAL_PAUSE << doublings, LONGEST_REFUSAL_PAUSE));
        } else {
            failures = 0;
            refusals = 0;
        }
    }

    private void pause(long until) {
        pausedUntil = Math.max(pausedUntil, until);
    }
}
