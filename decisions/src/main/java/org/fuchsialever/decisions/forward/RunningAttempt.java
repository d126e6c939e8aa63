package org.fuchsialever.decisions.forward;

import io.vavr.control.Option;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.fleet.UpstreamState;

/** An attempt whose end has not been reported. */
final class RunningAttempt {
    private final UpstreamState mUpstream;
    private final long mStartNanos;
    private boolean mReportedLoad;

    RunningAttempt(UpstreamState upstream, long startNanos) {
        mUpstream = upstream;
        mStartNanos = startNanos;
    }

    UpstreamState upstream() {
        return mUpstream;
    }

    long elapsedNanos(long now) {
        return now - mStartNanos;
    }

    /** Records the load in the head of the response, at once or at its end but not twice. */
    void observeLoad(Option<LoadHint> load, long now) {
        if (!mReportedLoad && load.isDefined()) {
            mReportedLoad = true;
            mUpstream.observeReport(load.get(), now);
        }
    }
}
