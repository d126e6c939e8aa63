package org.fuchsialever.decisions.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.domain.DomainSpill;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.decisions.queue.Queueing;
import org.fuchsialever.kernel.duty.Duty;

/** A forward duty with the calls and upstreams that its tests use, and the actions it emitted. */
abstract class ForwardDutyFixture {
    static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    static final long LEAVING_NANOS = 2_000 * MILLI;

    final ForwardDuty mDuty =
            new ForwardDuty(
                    new SplittableRandom(1),
                    UpstreamBalancing.AUTO,
                    queueing(),
                    LEAVING_NANOS,
                    DomainSpill.disabled(new SplittableRandom(1)));
    final List<ForwardAction> mActions = new ArrayList<>();

    /** The setting that the duty is created with. */
    Queueing queueing() {
        return Queueing.AUTO;
    }

    void progress(long number, int attempt, long millisPerEvent, long nowMillis) {
        mDuty.onEvent(
                new ForwardEvent.Progressed(number, attempt, millisPerEvent * MILLI),
                nowMillis * MILLI,
                mActions::add);
    }

    List<ForwardAction.Cancel> cancellations() {
        return mActions.stream()
                .filter(ForwardAction.Cancel.class::isInstance)
                .map(ForwardAction.Cancel.class::cast)
                .toList();
    }

    void fleet(FleetUpstream... upstreams) {
        event(new ForwardEvent.FleetChanged(List.of(upstreams)));
    }

    void arrive(ForwardCall call) {
        event(new ForwardEvent.Arrived(call));
    }

    void end(long number, int attempt, AttemptOutcome outcome) {
        event(new ForwardEvent.AttemptEnded(number, attempt, AttemptReport.of(outcome)));
    }

    void event(ForwardEvent event) {
        mDuty.onEvent(event, 0, mActions::add);
    }

    List<ForwardAction.Start> starts() {
        return mActions.stream()
                .filter(ForwardAction.Start.class::isInstance)
                .map(ForwardAction.Start.class::cast)
                .toList();
    }

    ForwardAction.Start lastStart() {
        return starts().get(starts().size() - 1);
    }

    List<ForwardRefusal> refusals() {
        return mActions.stream()
                .filter(ForwardAction.Refuse.class::isInstance)
                .map(action -> ((ForwardAction.Refuse) action).reason())
                .toList();
    }

    ForwardRefusal lastRefusal() {
        return refusals().get(refusals().size() - 1);
    }

    static ForwardCall live(long number, boolean idempotent, int maxAttempts) {
        return new ForwardCall(
                number,
                ForwardCallKind.LIVE,
                List.of(new ServiceShare("plain", 1)),
                idempotent,
                maxAttempts,
                "",
                0,
                "",
                CallTraits.UNKNOWN,
                0,
                false,
                0,
                800 * MILLI,
                75 * MILLI);
    }

    static ForwardCall item(long number, long minVersion, long urgency) {
        return new ForwardCall(
                number,
                ForwardCallKind.ITEM,
                List.of(new ServiceShare("engines", 1)),
                true,
                3,
                "m",
                minVersion,
                "group",
                CallTraits.UNKNOWN,
                urgency,
                false,
                0,
                Duty.NO_TIMER,
                Duty.NO_TIMER);
    }

    static FleetUpstream plain(String id) {
        return upstream(id, "plain", true, Map.of());
    }

    static FleetUpstream engine(String id, long version) {
        return upstream(id, "engines", true, Map.of("m", version));
    }

    static FleetUpstream upstream(
            String id, String service, boolean serving, Map<String, Long> versions) {
        return new FleetUpstream(id, service, "10.0.0.1", 80, "z", 2, serving, versions, 1);
    }
}
