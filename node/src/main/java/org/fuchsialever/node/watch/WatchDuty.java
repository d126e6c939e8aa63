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
    private final long intervalNanos;
    private final Map<UpstreamId, PolledUpstream> upstreams = new HashMap<>();

    WatchDuty(Duration interval) {
        intervalNanos = interval.toNanos();
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
            PolledUpstream upstream = upstreams.get(ended.upstream());
            if (upstream != null) {
                upstream.polling = false;
                upstream.cacheSequence = ended.cacheSequence();
            }
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<Poll> actions) {
        for (PolledUpstream upstream : upstreams.values()) {
            if (upstream.nextPollAt <= nowNanos) {
                upstream.nextPollAt = nowNanos + intervalNanos;
                if (!upstream.polling) {
                    upstream.polling = true;
                    actions.emit(new Poll(upstream.spec, upstream.kind, upstream.cacheSequence));
                }
            }
        }
    }

    @Override
    public long nextTimerNanos() {
        return upstreams.values().stream().mapToLong(w -> w.nextPollAt).min().orElse(NO_TIMER);
    }

    private void updateTargets(List<Target> targets, long now) {
        Map<UpstreamId, PolledUpstream> previous = new HashMap<>(upstreams);
        upstreams.clear();
        int index = 0;
        for (Target target : targets) {
            UpstreamId id = target.spec.id();
            PolledUpstream known = previous.get(id);
            PolledUpstream next = new PolledUpstream(target);
            // Spreads the first polls over one interval.
            next.nextPollAt = now + intervalNanos * index++ / targets.size();
            if (known != null) {
                next.nextPollAt = known.nextPollAt;
                next.cacheSequence = known.cacheSequence;
                next.polling = known.polling;
            }
            upstreams.put(id, next);
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
        private final UpstreamSpec spec;
        private final UpstreamKind kind;
        private long nextPollAt;
        private long cacheSequence;
        private boolean polling;

        PolledUpstream(Target target) {
            spec = target.spec;
            kind = target.kind;
        }
    }
}
