package org.fuchsialever.decisions.forward;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fuchsialever.kernel.duty.Duty;

/** The calls that wait for a slot, and the order in which they get one. */
final class CallQueue {
    /** Interval at which queued calls are reconsidered; the end of an ejection emits no event. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final TreeSet<ForwardCallState> mWaiting =
            new TreeSet<>(
                    Comparator.<ForwardCallState>comparingLong(state -> state.call().queueRank())
                            .thenComparingLong(state -> state.call().number()));
    private long mTimer = Duty.NO_TIMER;

    /** Returns when the queue is to be reconsidered, in monotonic nanoseconds. */
    long nextTimerNanos() {
        return mTimer;
    }

    /** Adds a call. */
    void add(ForwardCallState state, long now) {
        mWaiting.add(state);
        schedule(now);
    }

    /** Removes a call if it waits. */
    void remove(ForwardCallState state) {
        mWaiting.remove(state);
    }

    /**
     * Offers a slot to each waiting call in turn.
     *
     * @param start starts a call and removes it from the queue; false if no upstream has room
     */
    void drain(Predicate<ForwardCallState> start, long now) {
        mTimer = mTimer <= now ? Duty.NO_TIMER : mTimer;
        // A large step queues thousands of calls, of which the first one without room tells all.
        Set<Requirement> withoutRoom = new HashSet<>();
        for (ForwardCallState state : List.copyOf(mWaiting)) {
            Requirement requirement = Requirement.of(state);
            if (!withoutRoom.contains(requirement) && !start.test(state)) {
                withoutRoom.add(requirement);
            }
        }
        if (!mWaiting.isEmpty()) {
            schedule(now);
        }
    }

    private void schedule(long now) {
        mTimer = Math.min(mTimer, now + INTERVAL_NANOS);
    }

    /** What decides whether an upstream has room for a queued call. */
    private record Requirement(
            ForwardCallKind kind, String service, String model, long minVersion) {

        static Requirement of(ForwardCallState state) {
            ForwardCall call = state.call();
            return new Requirement(call.kind(), state.service(), call.model(), call.minVersion());
        }
    }
}
