package org.fuchsialever.node.dispatch;

import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.upstream.UpstreamClient;
import org.fuchsialever.node.upstream.UpstreamTimeouts;
import reactor.core.scheduler.Scheduler;

/**
 * What all exchanges use.
 *
 * @param client sends requests
 * @param timeouts how long attempts wait
 * @param timers runs the timers
 * @param time the clock
 * @param meters the counters
 * @param invariants receives the checks of attempts and refusals
 * @param ring takes events for the dispatch duty
 */
record ExchangeServices(
        UpstreamClient client,
        UpstreamTimeouts timeouts,
        Scheduler timers,
        TimeSource time,
        ExchangeMeters meters,
        InvariantMonitor invariants,
        DispatchRing ring) {}
