package org.fuchsialever.decisions.forward;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fuchsialever.decisions.fleet.ChoiceBasis;
import org.fuchsialever.decisions.fleet.ChoiceSurcharge;
import org.fuchsialever.decisions.fleet.ChosenUpstream;
import org.fuchsialever.decisions.fleet.CompletionTime;
import org.fuchsialever.decisions.fleet.Fleet;
import org.fuchsialever.decisions.fleet.ServiceProfile;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.fuchsialever.decisions.fleet.UpstreamState;

/** Chooses the upstream that a call is sent to, and where a running call goes on. */
final class UpstreamChoice {
    /** A running call moves if it probably ends earlier elsewhere by at least this time. */
    private static final long MIN_MOVE_GAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /** The least remaining time that is assumed for a call that is expected to be long. */
    private static final long LONG_REMAINDER_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Part of the expected work that is assumed to remain of a call however long it has run. */
    private static final double LEAST_REMAINDER = 0.5;

    private static final int MAX_AFFINITIES = 4_096;

    private final Fleet mFleet;
    private final UpstreamBalancing mBalancing;
    private final long mLeavingNanos;
    private final CallSurcharge mSurcharge;
    private final Map<String, String> mAffinities =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > MAX_AFFINITIES;
                }
            };

    /**
     * Creates a choice among the upstreams of a fleet.
     *
     * @param balancing what the calls of a service go by
     * @param leavingNanos how long after it has announced that it is leaving an upstream may get
     *     calls that no other upstream can run
     * @param surcharge added to the expected time of completion at an upstream, by its failure
     *     domain
     */
    UpstreamChoice(
            Fleet fleet, UpstreamBalancing balancing, long leavingNanos, CallSurcharge surcharge) {
        mFleet = fleet;
        mBalancing = balancing;
        mLeavingNanos = leavingNanos;
        mSurcharge = surcharge;
    }

    /** Creates a choice with surcharges that are the same for all calls. */
    UpstreamChoice(
            Fleet fleet,
            UpstreamBalancing balancing,
            long leavingNanos,
            ChoiceSurcharge surcharge) {
        this(fleet, balancing, leavingNanos, CallSurcharge.sameForAll(surcharge));
    }

    /** Notes that a call was sent, so that calls with the same prompt follow it. */
    void noteStart(ForwardCall call, UpstreamState upstream) {
        if (!call.affinity().isEmpty()) {
            mAffinities.put(call.affinity(), upstream.spec().id());
        }
    }

    /** Records how long a call took that the upstream ran from its beginning to its end. */
    void noteAnswered(ForwardCallState state, UpstreamState upstream, long nanos, long now) {
        ForwardCall call = state.call();
        mFleet.profile(state.service())
                .observe(
                        upstream,
                        call.kind().name(),
                        call.traits().expectedTokens(),
                        Math.max(1, nanos),
                        now);
    }

    /** Records what an attempt has done of a call that goes on after its last event. */
    void noteWorkDone(ForwardCallState state, UpstreamState upstream, long nanos, long now) {
        if (state.call().kind().movesWhileRunning()) {
            state.addWorkDone(
                    mFleet.completionTime(state.service(), now).workDoneNanos(upstream, nanos));
        }
    }

    /** Returns the upstream for the next attempt of a call, none if it has to wait. */
    Option<ChosenUpstream> next(ForwardCallState state, long now) {
        ForwardCall call = state.call();
        Predicate<UpstreamState> suitable = suitable(call);
        Predicate<UpstreamState> untried =
                upstream -> suitable.test(upstream) && !state.wasTried(upstream);
        String service = state.service();
        Option<ChosenUpstream> choice = best(state, untried, now);
        if (choice.isEmpty() && call.kind().waitsForSlot()) {
            return best(state, suitable, now).orElse(() -> leavingForQueued(call, service, now));
        }
        // A live call is sent to a leaving or an ejected upstream rather than refused.
        long sent = call.latestSentNanos(now);
        return choice.orElse(
                        () ->
                                mFleet.chooseLeaving(service, untried, sent, mLeavingNanos, now)
                                        .map(ChoiceBasis.LEAVING::choose))
                .orElse(
                        () ->
                                mFleet.chooseSuspended(service, untried)
                                        .map(ChoiceBasis.SUSPENDED::choose));
    }

    private Option<ChosenUpstream> best(
            ForwardCallState state, Predicate<UpstreamState> allowed, long now) {
        ForwardCall call = state.call();
        String preferred =
                call.affinity().isEmpty() ? "" : mAffinities.getOrDefault(call.affinity(), "");
        if (estimatesCompletion(state)) {
            long work = remainingWorkNanos(state, state.workDoneNanos());
            return earliest(state, allowed, work, preferred, now);
        }
        ForwardCallKind kind = call.kind();
        return mFleet.choose(
                        state.service(),
                        allowed,
                        kind.maxUtilization(),
                        kind.loadStep(),
                        kind.paceWeight(call.expectedLong()),
                        preferred,
                        now)
                .map(ChoiceBasis.LEAST_LOAD::choose);
    }

    private boolean estimatesCompletion(ForwardCallState state) {
        return mBalancing.estimatesCompletion(mFleet.profile(state.service()));
    }

    private Option<ChosenUpstream> earliest(
            ForwardCallState state,
            Predicate<UpstreamState> allowed,
            long workNanos,
            String preferred,
            long now) {
        CompletionTime completion = mFleet.completionTime(state.service(), now);
        ChoiceSurcharge surcharge = mSurcharge.of(state, now);
        boolean hasPrompt = !state.call().affinity().isEmpty();
        return mFleet.chooseEarliest(
                state.service(),
                allowed,
                state.call().kind().maxUtilization(),
                upstream ->
                        completion.nanos(
                                        upstream,
                                        workNanos,
                                        hasPrompt && !upstream.spec().id().equals(preferred))
                                + surcharge.nanos(upstream, now),
                preferred,
                now);
    }

    /** Returns the upstream at which a running call ends early enough to pay for the move. */
    Option<ChosenUpstream> moveTarget(
            ForwardCallState state, UpstreamState from, long elapsedNanos, long now) {
        ForwardCall call = state.call();
        if (estimatesCompletion(state)) {
            return earlierElsewhere(state, from, elapsedNanos, now);
        }
        Predicate<UpstreamState> worthwhile =
                other ->
                        other != from
                                && moveGainNanos(state, from, other, now) > MIN_MOVE_GAIN_NANOS;
        return mFleet.choose(
                        state.service(),
                        suitable(call).and(worthwhile),
                        call.kind().maxUtilization(),
                        call.kind().loadStep(),
                        call.kind().paceWeight(true),
                        "",
                        now)
                .map(ChoiceBasis.LEAST_LOAD::choose);
    }

    private Option<ChosenUpstream> earlierElsewhere(
            ForwardCallState state, UpstreamState from, long elapsedNanos, long now) {
        CompletionTime completion = mFleet.completionTime(state.service(), now);
        ServiceProfile profile = mFleet.profile(state.service());
        long done = state.workDoneNanos() + completion.workDoneNanos(from, elapsedNanos);
        long work = remainingWorkNanos(state, done);
        long stay = completion.remainingNanos(from, work);
        return earliest(
                        state,
                        suitable(state.call())
                                .and(other -> other != from && profile.isMeasured(other, now)),
                        work,
                        "",
                        now)
                .filter(target -> stay - target.expectedNanos() > MIN_MOVE_GAIN_NANOS);
    }

    /** Estimates of the length are often far off, so a call that outlasts its one goes on. */
    private long remainingWorkNanos(ForwardCallState state, long doneNanos) {
        ForwardCall call = state.call();
        long tokens = call.traits().expectedTokens();
        long work = mFleet.profile(state.service()).workNanos(call.kind().name(), tokens);
        long least = tokens > 0 ? (long) (work * LEAST_REMAINDER) : doneNanos;
        return Math.max(work - doneNanos, least);
    }

    /** A queued call waits for a slot at an upstream that stays, if there is any. */
    private Option<ChosenUpstream> leavingForQueued(ForwardCall call, String service, long now) {
        Predicate<UpstreamState> suitable = suitable(call);
        for (UpstreamState upstream : mFleet.ofService(service)) {
            if (upstream.isServing() && suitable.test(upstream)) {
                return Option.none();
            }
        }
        long sent = call.latestSentNanos(now);
        return mFleet.chooseLeaving(
                        service,
                        suitable.and(
                                upstream ->
                                        upstream.utilization(now) < call.kind().maxUtilization()),
                        sent,
                        mLeavingNanos,
                        now)
                .map(ChoiceBasis.LEAVING::choose);
    }

    /** Lengths vary so much that a call which has run for long has as much before it. */
    private static double moveGainNanos(
            ForwardCallState state, UpstreamState from, UpstreamState to, long now) {
        if (to.paceNanos(now) == 0) {
            return 0;
        }
        long elapsed = now - state.firstStartNanos();
        long remainder =
                state.call().expectedLong() ? Math.max(elapsed, LONG_REMAINDER_NANOS) : elapsed;
        return remainder * (1 - (double) to.paceNanos(now) / from.paceNanos(now));
    }

    private static Predicate<UpstreamState> suitable(ForwardCall call) {
        return upstream ->
                call.model().isEmpty() || upstream.versionOf(call.model()) >= call.minVersion();
    }
}
