package org.fuchsialever.decisions.forward;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.queue.FairQueue;
import org.fuchsialever.decisions.queue.QueuePlace;
import org.fuchsialever.kernel.duty.Duty;

/** The calls that wait for a slot, and the order in which they get one. */
final class CallQueue {
    /** Interval at which queued calls are reconsidered; the end of an ejection emits no event. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final TreeSet<ForwardCallState> mByDueTime =
            new TreeSet<>(
                    Comparator.<ForwardCallState>comparingLong(state -> state.call().queueRank())
                            .thenComparingLong(state -> state.call().number()));
    private final Map<String, FairQueue<ForwardCallState>> mFair = new HashMap<>();
    private Map<String, Double> mWeights = Map.of();
    private long mTimer = Duty.NO_TIMER;

    /** Returns when the queue is to be reconsidered, in monotonic nanoseconds. */
    long nextTimerNanos() {
        return mTimer;
    }

    /** Queues the calls of a service fairly from now on, also those that wait already. */
    void queueFairly(String service) {
        FairQueue<ForwardCallState> queue = new FairQueue<>();
        queue.setWeights(mWeights);
        if (mFair.putIfAbsent(service, queue) == null) {
            for (ForwardCallState state : List.copyOf(mByDueTime)) {
                if (state.service().equals(service)) {
                    mByDueTime.remove(state);
                    queue.add(state, place(state));
                }
            }
        }
    }

    /**
     * Takes the slots of services from the list of upstreams.
     *
     * @param isFair whether a service is queued fairly from now on
     */
    void noteUpstreams(List<FleetUpstream> listed, Predicate<String> isFair) {
        Map<String, Integer> slots = new HashMap<>();
        listed.stream()
                .filter(FleetUpstream::serving)
                .forEach(one -> slots.merge(one.service(), one.slots(), Integer::sum));
        slots.forEach(
                (service, count) -> {
                    if (isFair.test(service)) {
                        queueFairly(service);
                    }
                    setSlots(service, count);
                });
    }

    /** Returns the names of the services that are queued fairly. */
    Set<String> fairServices() {
        return mFair.keySet();
    }

    /** Returns whether the calls of a service are queued fairly. */
    boolean isFair(String service) {
        return mFair.containsKey(service);
    }

    /** Sets the weights of teams; 1 for teams that are not in the map. */
    void setWeights(Map<String, Double> weights) {
        mWeights = weights;
        mFair.values().forEach(queue -> queue.setWeights(weights));
    }

    /** Sets the number of calls that a service runs at once. */
    void setSlots(String service, int slots) {
        FairQueue<ForwardCallState> queue = mFair.get(service);
        if (queue != null) {
            queue.setSlots(slots);
        }
    }

    /** Returns the number of calls that wait in a service which is queued fairly. */
    int length(String service) {
        FairQueue<ForwardCallState> queue = mFair.get(service);
        return queue == null ? 0 : queue.size();
    }

    /** Returns the number of waiting calls that go before a new call of the same kind. */
    int lengthAhead(ForwardCallState state) {
        FairQueue<ForwardCallState> queue = mFair.get(state.service());
        ForwardCall call = state.call();
        return queue == null ? 0 : queue.sizeUpTo(call.traits().rank(), call.kind().queueStage());
    }

    /** Adds a call. */
    void add(ForwardCallState state, long now) {
        FairQueue<ForwardCallState> queue = mFair.get(state.service());
        if (queue == null) {
            mByDueTime.add(state);
        } else {
            queue.add(state, place(state));
        }
        schedule(now);
    }

    /** Removes a call; returns whether it waited. */
    boolean remove(ForwardCallState state) {
        FairQueue<ForwardCallState> queue = mFair.get(state.service());
        return queue == null ? mByDueTime.remove(state) : queue.remove(state);
    }

    /** Counts a call that was started without waiting against the share of its team. */
    void chargeDirectStart(ForwardCallState state) {
        FairQueue<ForwardCallState> queue = mFair.get(state.service());
        if (queue != null) {
            queue.charge(place(state));
        }
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
        for (ForwardCallState state : List.copyOf(mByDueTime)) {
            Requirement requirement = Requirement.of(state);
            if (!withoutRoom.contains(requirement) && !start.test(state)) {
                withoutRoom.add(requirement);
            }
        }
        if (!mByDueTime.isEmpty()) {
            schedule(now);
        }
        for (String service : mFair.keySet()) {
            drainFair(service, start, now);
        }
    }

    /** Offers a slot to the waiting calls of a service that is queued fairly. */
    void drainFair(String service, Predicate<ForwardCallState> start, long now) {
        FairQueue<ForwardCallState> queue = mFair.get(service);
        if (queue != null) {
            queue.drain(start);
            if (queue.size() > 0) {
                schedule(now);
            }
        }
    }

    private void schedule(long now) {
        mTimer = Math.min(mTimer, now + INTERVAL_NANOS);
    }

    private static QueuePlace place(ForwardCallState state) {
        ForwardCall call = state.call();
        return new QueuePlace(
                call.traits().team(),
                call.traits().rank(),
                call.kind().queueStage(),
                call.queueRank(),
                call.number(),
                call.traits().cost(),
                Requirement.of(state));
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
