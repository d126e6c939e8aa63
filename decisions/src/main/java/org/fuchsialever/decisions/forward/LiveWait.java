package org.fuchsialever.decisions.forward;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.fleet.Fleet;
import org.fuchsialever.decisions.fleet.UpstreamState;
import org.fuchsialever.decisions.queue.PoolRate;
import org.fuchsialever.decisions.queue.ReturnTimes;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Decides whether a live call waits for a slot of a service that is queued fairly, and when a
 * caller who was refused there is to return.
 */
final class LiveWait {
    /**
     * Load per slot from which on a live call waits here. A call that is bound to a busy upstream
     * waits there for its next slot, even if another one has a slot earlier.
     */
    private static final double FULL_UTILIZATION = 1.5;

    private final Fleet mFleet;
    private final CallQueue mQueue;
    private final RandomGenerator mRandom;
    private final Map<String, PoolRate> mRates = new HashMap<>();
    private final Map<String, ReturnTimes> mReturns = new HashMap<>();

    LiveWait(Fleet fleet, CallQueue queue, RandomGenerator random) {
        mFleet = fleet;
        mQueue = queue;
        mRandom = random;
    }

    /** Records that a call has ended at a service that worked on it. */
    void noteEnd(String service, long now) {
        rate(service).noteEnd(now);
    }

    /** Returns whether an upstream that was not tried has room for a live call. */
    boolean hasRoom(ForwardCallState state, long now) {
        for (UpstreamState upstream : mFleet.ofService(state.service())) {
            if (upstream.isAvailable(now)
                    && upstream.utilization(now) < FULL_UTILIZATION
                    && !state.wasTried(upstream)) {
                return true;
            }
        }
        return false;
    }

    /** Returns until when a live call may wait, in monotonic nanoseconds. */
    long waitsUntil(ForwardCall call) {
        return Math.min(
                call.arrivedNanos() + call.traits().maxWaitNanos(),
                call.deadlineNanos() == Duty.NO_TIMER ? Long.MAX_VALUE : call.deadlineNanos());
    }

    /** Returns whether a live call without room is worth holding, because a slot is in sight. */
    boolean isWorthWaiting(ForwardCallState state, long now) {
        long left = waitsUntil(state.call()) - now;
        boolean served =
                mFleet.ofService(state.service()).stream()
                        .anyMatch(upstream -> upstream.isServing() && !state.wasTried(upstream));
        long expected = rate(state.service()).waitNanos(mQueue.lengthAhead(state), now);
        return left > 0 && served && expected <= left;
    }

    /** Returns after which time a refused call is to return, in milliseconds. */
    long retryAfterMillis(ForwardCallState state, long now) {
        String service = state.service();
        long deadline = state.call().deadlineNanos();
        long left = deadline == Duty.NO_TIMER ? Long.MAX_VALUE : deadline - now;
        return mReturns.computeIfAbsent(service, name -> new ReturnTimes(mRandom))
                .nextMillis(rate(service).perSecond(now), roomAt(service, now), left, now);
    }

    /** Returns when the first upstream is eligible again. */
    private long roomAt(String service, long now) {
        return Option.ofOptional(
                        mFleet.ofService(service).stream()
                                .filter(UpstreamState::isServing)
                                .map(UpstreamState::suspendedUntil)
                                .min(Long::compare))
                .getOrElse(now);
    }

    private PoolRate rate(String service) {
        return mRates.computeIfAbsent(service, name -> new PoolRate());
    }
}
