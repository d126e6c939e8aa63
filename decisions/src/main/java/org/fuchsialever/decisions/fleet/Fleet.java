package org.fuchsialever.decisions.fleet;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/** The upstreams known to this instance and load balancing among them. Single writer. */
public final class Fleet {
    /** Load per slot by which an upstream that has the prompt cached may exceed others. */
    private static final double AFFINITY_BONUS = 0.4;

    /** Penalty added to the cost of an upstream that is slow to respond. */
    private static final double SLOW_PENALTY = 1.0;

    private final Map<String, UpstreamState> mStates = new HashMap<>();
    private final Map<String, List<UpstreamState>> mByService = new HashMap<>();
    private final Map<String, ServiceProfile> mProfiles = new HashMap<>();
    private final LeavingUpstreams mLeaving = new LeavingUpstreams();
    private final RandomGenerator mRandom;
    private final EarliestCompletion mEarliest;

    /** Creates an empty fleet. */
    public Fleet(RandomGenerator random) {
        mRandom = random;
        mEarliest = new EarliestCompletion(random);
    }

    /** Replaces the list of upstreams; the state of those that remain is kept. */
    public void update(Collection<FleetUpstream> listed) {
        Set<String> ids = new HashSet<>();
        for (FleetUpstream upstream : listed) {
            ids.add(upstream.id());
            UpstreamState state = mStates.get(upstream.id());
            if (state == null) {
                mStates.put(upstream.id(), new UpstreamState(upstream));
            } else {
                state.update(upstream);
            }
        }
        mStates.values().stream()
                .filter(state -> !ids.contains(state.spec().id()))
                .forEach(UpstreamState::markUnlisted);
        mStates.values().removeIf(UpstreamState::isRemovable);
        mByService.clear();
        mProfiles.keySet().retainAll(services());
        for (UpstreamState state : mStates.values()) {
            state.setLeaving(mLeaving.sinceNanos(state.spec()));
            mByService
                    .computeIfAbsent(state.spec().service(), service -> new ArrayList<>())
                    .add(state);
        }
    }

    /**
     * Records that an upstream has announced in a response that it is leaving.
     *
     * @param responder the upstream, as it was described when the call was sent
     * @param sinceNanos when the head of the response was received, in monotonic nanoseconds
     * @param wallMillis the same as Unix time in milliseconds
     * @return whether this was not known before
     */
    public boolean markLeaving(FleetUpstream responder, long sinceNanos, long wallMillis) {
        boolean added =
                mLeaving.add(responder.id(), responder.startedMillis(), sinceNanos, wallMillis);
        UpstreamState state = mStates.get(responder.id());
        if (added && state != null) {
            state.setLeaving(mLeaving.sinceNanos(state.spec()));
        }
        return added;
    }

    /**
     * Returns the upstreams that may get calls, for other threads.
     *
     * @param leavingNanos how long after its announcement an upstream may get calls
     */
    public ServingUpstreams serving(long leavingNanos) {
        Map<String, Option<Long>> serving = new HashMap<>();
        for (UpstreamState state : mStates.values()) {
            if (state.isListedAsServing()) {
                serving.put(state.spec().id(), state.leavingSince());
            }
        }
        return new ServingUpstreams(serving, leavingNanos);
    }

    /** Returns the upstreams of a service; empty for an unknown one. */
    public List<UpstreamState> ofService(String service) {
        return mByService.getOrDefault(service, List.of());
    }

    /** Returns an upstream by its name. */
    public Option<UpstreamState> byId(String id) {
        return Option.of(mStates.get(id));
    }

    /**
     * Returns the least loaded upstream that may get a call now; among equals the most recently
     * used one, because a connection to it is probably open.
     *
     * @param service name of the service
     * @param allowed further conditions on the upstream
     * @param maxUtilization load per slot from which on an upstream gets no call
     * @param loadStep load per slot is rounded down to multiples of this; 0 for no rounding
     * @param paceWeight load per slot by which an upstream may exceed one that takes twice the time
     *     for each event; 0 to disregard the pace
     * @param preferred name of an upstream that has the prompt cached, empty if there is none
     * @param now monotonic time in nanoseconds
     */
    public Option<UpstreamState> choose(
            String service,
            Predicate<UpstreamState> allowed,
            double maxUtilization,
            double loadStep,
            double paceWeight,
            String preferred,
            long now) {
        long bestPace = paceWeight > 0 ? bestPaceNanos(service, allowed, now) : 0;
        UpstreamState best = null;
        double bestCost = Double.MAX_VALUE;
        for (UpstreamState state : ofService(service)) {
            double utilization = state.utilization(now);
            if (!state.isAvailable(now) || utilization >= maxUtilization || !allowed.test(state)) {
                continue;
            }
            double cost = loadStep > 0 ? Math.floor(utilization / loadStep) : utilization;
            cost -= state.spec().id().equals(preferred) ? AFFINITY_BONUS : 0;
            cost += state.isSlow(now) ? SLOW_PENALTY : 0;
            cost += bestPace > 0 ? paceWeight * excessPace(state, bestPace, now) : 0;
            boolean better =
                    best == null
                            || cost < bestCost
                            || cost == bestCost && isMoreRecentlyUsed(state, best);
            if (better) {
                best = state;
                bestCost = cost;
            }
        }
        return Option.of(best);
    }

    /** Returns what is known of the calls of a service. */
    public ServiceProfile profile(String service) {
        return mProfiles.computeIfAbsent(service, added -> new ServiceProfile());
    }

    /**
     * Returns the upstream at which a call probably ends first, or one of those that are nearly as
     * good.
     *
     * @param service name of the service
     * @param allowed further conditions on the upstream
     * @param maxUtilization estimated load per slot from which on an upstream gets no call
     * @param estimate expected time until the call ends, in nanoseconds
     * @param preferred name of an upstream that has the prompt cached, empty if there is none
     * @param now monotonic time in nanoseconds
     */
    public Option<ChosenUpstream> chooseEarliest(
            String service,
            Predicate<UpstreamState> allowed,
            double maxUtilization,
            ToLongFunction<UpstreamState> estimate,
            String preferred,
            long now) {
        CompletionTime completion = completionTime(service, now);
        List<UpstreamState> candidates = new ArrayList<>();
        for (UpstreamState state : ofService(service)) {
            double limit = maxUtilization * Math.max(1, state.spec().slots());
            if (state.isAvailable(now) && completion.load(state) < limit && allowed.test(state)) {
                candidates.add(state);
            }
        }
        return mEarliest.choose(candidates, estimate, preferred);
    }

    /** Returns an estimator of times of completion at the upstreams of a service. */
    public CompletionTime completionTime(String service, long now) {
        ServiceProfile profile = profile(service);
        profile.compare(ofService(service), now);
        return new CompletionTime(profile, now);
    }

    private Set<String> services() {
        Set<String> services = new HashSet<>();
        mStates.values().forEach(state -> services.add(state.spec().service()));
        return services;
    }

    /**
     * Returns the shortest time for each event of a stream among the upstreams of a service.
     *
     * @return the time in nanoseconds, 0 if none is known
     */
    public long bestPaceNanos(String service, Predicate<UpstreamState> allowed, long now) {
        long best = 0;
        for (UpstreamState state : ofService(service)) {
            long pace = state.paceNanos(now);
            if (pace > 0
                    && (best == 0 || pace < best)
                    && state.isAvailable(now)
                    && allowed.test(state)) {
                best = pace;
            }
        }
        return best;
    }

    private static double excessPace(UpstreamState state, long bestPace, long now) {
        long pace = state.paceNanos(now);
        return pace == 0 ? 0 : Math.max(0, (double) pace / bestPace - 1);
    }

    private boolean isMoreRecentlyUsed(UpstreamState state, UpstreamState other) {
        return state.lastUsed() == other.lastUsed()
                ? mRandom.nextBoolean()
                : state.lastUsed() > other.lastUsed();
    }

    /**
     * Returns the least loaded of the upstreams that are leaving and still serve, for calls without
     * another choice.
     *
     * @param sentNanos when the caller sent the call at the latest, in monotonic nanoseconds
     * @param leavingNanos how long after its announcement an upstream may get calls
     */
    public Option<UpstreamState> chooseLeaving(
            String service,
            Predicate<UpstreamState> allowed,
            long sentNanos,
            long leavingNanos,
            long now) {
        return Option.ofOptional(
                ofService(service).stream()
                        .filter(state -> state.servesWhileLeaving(sentNanos, leavingNanos, now))
                        .filter(allowed)
                        .min(Comparator.comparingDouble(state -> state.utilization(now))));
    }

    /** Returns the ejected upstream whose ejection ends first, for calls without another choice. */
    public Option<UpstreamState> chooseSuspended(String service, Predicate<UpstreamState> allowed) {
        UpstreamState earliest = null;
        for (UpstreamState state : ofService(service)) {
            boolean earlier =
                    earliest == null || state.suspendedUntil() < earliest.suspendedUntil();
            if (state.isServing() && allowed.test(state) && earlier) {
                earliest = state;
            }
        }
        return Option.of(earliest);
    }
}
