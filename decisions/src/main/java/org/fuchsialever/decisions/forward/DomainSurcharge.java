package org.fuchsialever.decisions.forward;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.domain.DomainLoad;
import org.fuchsialever.decisions.domain.DomainSpill;
import org.fuchsialever.decisions.fleet.ChoiceSurcharge;
import org.fuchsialever.decisions.fleet.Fleet;
import org.fuchsialever.decisions.fleet.UpstreamState;

/**
 * What the failure domain of an upstream adds to the expected time of completion of a call. It only
 * orders upstreams: a call that cannot run in its domain runs in any other.
 */
final class DomainSurcharge implements CallSurcharge {
    /** A call goes elsewhere than its share says if it probably ends earlier by this time. */
    private static final long OTHER_DOMAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Fleet mFleet;
    private final DomainSpill mSpill;

    DomainSurcharge(Fleet fleet, DomainSpill spill) {
        mFleet = fleet;
        mSpill = spill;
    }

    @Override
    public ChoiceSurcharge of(ForwardCallState state, long now) {
        String service = state.service();
        if (!mSpill.appliesTo(mFleet.profile(service).reportsSlowdown())) {
            return ChoiceSurcharge.NONE;
        }
        ForwardCall call = state.call();
        long bytes = call.traits().bodyBytes();
        List<UpstreamState> upstreams = mFleet.ofService(service);
        if (!call.kind().followsDomainShare() || upstreams.isEmpty()) {
            return (upstream, at) -> mSpill.costNanos(upstream.spec().failureDomain(), bytes);
        }
        String target = mSpill.target(service, DomainLoad.of(upstreams, now), bytes, now);
        return (upstream, at) -> {
            String domain = upstream.spec().failureDomain();
            return mSpill.costNanos(domain, bytes)
                    + (domain.equals(target) ? 0 : OTHER_DOMAIN_NANOS);
        };
    }

    /** Records how long a call took that one upstream ran from its beginning to its end. */
    void noteAnswered(ForwardCallState state, long nanos) {
        if (state.call().kind().followsDomainShare()) {
            mSpill.noteWork(state.service(), nanos);
        }
    }
}
