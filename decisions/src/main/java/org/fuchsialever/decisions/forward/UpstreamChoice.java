package org.fuchsialever.decisions.forward;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fuchsialever.decisions.fleet.ChoiceSurcharge;
import org.fuchsialever.decisions.fleet.Fleet;
import org.fuchsialever.decisions.fleet.UpstreamState;

/** Chooses the upstream that a call is sent to, and where a running call goes on. */
final class UpstreamChoice {
    /** A running call moves if it probably ends earlier elsewhere by at least this time. */
    private static final long MIN_MOVE_GAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /** The least remaining time that is assumed for a call that is expected to be long. */
    private static final long LONG_REMAINDER_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final int MAX_AFFINITIES = 4_096;

    private final Fleet mFleet;
    private final long mLeavingNanos;
    private final ChoiceSurcharge mSurcharge;
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
     * @param leavingNanos how long after it has announced that it is leaving an upstream may get
     *     calls that no other upstream can run
     * @param surcharge added to the expected time of completion at an upstream
     */
    UpstreamChoice(Fleet fleet, long leavingNanos, ChoiceSurcharge surcharge) {
        mFleet = fleet;
        mLeavingNanos = leavingNanos;
        mSurcharge = surcharge;
    }

    /** Notes that a call was sent, so that calls with the same prompt follow it. */
    void noteStart(ForwardCall call, UpstreamState upstream) {
        if (!call.affinity().isEmpty()) {
            mAffinities.put(call.affinity(), upstream.spec().id());
        }
    }

    /** Returns the upstream for the next attempt of a call, none if it has to wait. */
    Option<UpstreamState> next(ForwardCallState state, long now) {
        ForwardCall call = state.call();
        Predicate<UpstreamState> suitable = suitable(call);
        Predicate<UpstreamState> untried =
                upstream -> suitable.test(upstream) && !state.wasTried(upstream);
        String preferred =
                call.affinity().isEmpty() ? "" : mAffinities.getOrDefault(call.affinity(), "");
        double maxUtilization = call.kind().maxUtilization();
        double loadStep = call.kind().loadStep();
        double paceWeight = call.kind().paceWeight(call.expectedLong());
        String service = state.service();
        Option<UpstreamState> choice =
                mFleet.choose(
                        service, untried, maxUtilization, loadStep, paceWeight, preferred, now);
        if (choice.isEmpty() && call.kind().waitsForSlot()) {
            return mFleet.choose(
                            service, suitable, maxUtilization, loadStep, paceWeight, preferred, now)
                    .orElse(() -> leavingForQueued(call, service, now));
        }
        // A live call is sent to a leaving or an ejected upstream rather than refused.
        long sent = call.kind().latestSentNanos(call, now);
        return choice.orElse(() -> mFleet.chooseLeaving(service, untried, sent, mLeavingNanos, now))
                .orElse(() -> mFleet.chooseSuspended(service, untried));
    }

    /** Returns the upstream at which a running call ends early enough to pay for the move. */
    Option<UpstreamState> moveTarget(ForwardCallState state, UpstreamState from, long now) {
        ForwardCall call = state.call();
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
                now);
    }

    /** A queued call waits for a slot at an upstream that stays, if there is any. */
    private Option<UpstreamState> leavingForQueued(ForwardCall call, String service, long now) {
        Predicate<UpstreamState> suitable = suitable(call);
        for (UpstreamState upstream : mFleet.ofService(service)) {
            if (upstream.isServing() && suitable.test(upstream)) {
                return Option.none();
            }
        }
        long sent = call.kind().latestSentNanos(call, now);
        return mFleet.chooseLeaving(
                service,
                suitable.and(upstream -> upstream.utilization(now) < call.kind().maxUtilization()),
                sent,
                mLeavingNanos,
                now);
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
