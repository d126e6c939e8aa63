package org.fuchsialever.decisions.forward;

import org.fuchsialever.decisions.fleet.Fleet;
import org.fuchsialever.decisions.fleet.ServingUpstreams;
import org.fuchsialever.kernel.duty.ActionSink;

/** Reports which upstreams may get calls, for calls that wait for their connection. */
final class ServingReport {
    private final Fleet mFleet;
    private final long mLeavingNanos;
    private ServingUpstreams mReported = ServingUpstreams.none();

    ServingReport(Fleet fleet, long leavingNanos) {
        mFleet = fleet;
        mLeavingNanos = leavingNanos;
    }

    /** Reports them if they have changed. */
    void update(ActionSink<ForwardAction> actions) {
        ServingUpstreams serving = mFleet.serving(mLeavingNanos);
        if (!serving.equals(mReported)) {
            mReported = serving;
            actions.emit(new ForwardAction.PublishServing(serving));
        }
    }
}
