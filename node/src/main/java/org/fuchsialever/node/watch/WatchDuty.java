package org.fuchsialever.node.watch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/** Polls each upstream at a fixed interval, with at most one poll in flight for each. */
final class WatchDuty implements Duty<WatchDuty.Event, WatchDuty.Poll> {
    private final long mIntervalNanos;
    private final Map<UpstreamId, PolledUpstream> mUpstreams = new HashMap<>();

    WatchDuty(Duration interval) {
        mIntervalNanos = interval.toNanos();
    }

    @Override
    public String dutyName() {
        return "upstream-watch";
    }

    @Override
    public void onEvent(Event event, long nowNanos, ActionSink<Poll> actions) {
        if (event instanceof Event.UpstreamsChanged changed) {
            updateTargets(changed.upstreams(), nowNanos);
        } else if (event instanceof Event.PollEnded ended) {
            PolledUpstream upstream = mUpstreams.get(ended.upstream());
            if (upstream != null) {
                upstream.mPolling = false;
                upstream.mCacheSequence = ended.cacheSequence();
            }
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<Poll> actions) {
        for (PolledUpstream upstream : mUpstreams.values()) {
            if (upstream.mNextPollAt <= nowNanos) {
                upstream.mNextPollAt = nowNanos + mIntervalNanos;
                if (!upstream.mPolling) {
                    upstream.mPolling = true;
                    actions.emit(new Poll(upstream.mSpec, upstream.mKind, upstream.mCacheSequence));
                }
            }
        }
    }

    @Override
    public long nextTimerNanos() {
        return mUpstreams.values().stream().mapToLong(w -> w.mNextPollAt).min().orElse(NO_TIMER);
    }

    private void updateTargets(List<Target> targets, long now) {
        Map<UpstreamId, PolledUpstream> previous = new HashMap<>(mUpstreams);
        mUpstreams.clear();
        int index = 0;
        for (Target target : targets) {
            UpstreamId id = target.spec.id();
            PolledUpstream known = previous.get(id);
            PolledUpstream next = new PolledUpstream(target);
            // Spreads the first polls over one interval.
            next.mNextPollAt = now + mIntervalNanos * index++ / targets.size();
            if (known != null) {
                next.mNextPollAt = known.mNextPollAt;
                next.mCacheSequence = known.mCacheSequence;
                next.mPolling = known.mPolling;
            }
            mUpstreams.put(id, next);
        }
    }

    /** Events of the duty. */
    sealed interface Event {

        /** The upstreams to poll changed. */
        record UpstreamsChanged(List<Target> upstreams) implements Event {}

        /** A poll ended, with or without a response. */
        record PollEnded(UpstreamId upstream, long cacheSequence) implements Event {}
    }

    /** An upstream to poll. */
    record Target(UpstreamSpec spec, UpstreamKind kind) {}

    /** Requests the load report of an upstream and its cache events after a sequence number. */
    record Poll(UpstreamSpec spec, UpstreamKind kind, long cacheSequence) {}

    private static final class PolledUpstream {
        private final UpstreamSpec mSpec;
        private final UpstreamKind mKind;
        private long mNextPollAt;
        private long mCacheSequence;
        private boolean mPolling;

        PolledUpstream(Target target) {
            mSpec = target.spec;
            mKind = target.kind;
        }
    }
}
