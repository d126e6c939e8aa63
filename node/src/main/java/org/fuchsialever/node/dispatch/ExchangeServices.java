package org.fuchsialever.node.dispatch;

import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.upstream.UpstreamClient;
import org.fuchsialever.node.upstream.UpstreamTimeouts;
import reactor.core.scheduler.Scheduler;

/**
 * Services that all exchanges share.
 *
 * @param client sends requests to upstreams
 * @param timeouts timeouts of attempts and probes
 * @param timers schedules timeouts
 * @param time clock of attempts and deadlines
 * @param invariants checks attempts and refusals
 * @param ring passes events to the dispatch duty
 */
record ExchangeServices(
        UpstreamClient client,
        UpstreamTimeouts timeouts,
        Scheduler timers,
        TimeSource time,
        ExchangeMeters meters,
        InvariantMonitor invariants,
        DispatchRing ring) {}
