package org.fuchsialever.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.platform.UpstreamStandIn;

/**
 * What callers, upstreams and the store have seen in a run.
 *
 * @param record what callers saw and what was done to the processes
 * @param runs how often each request ran at all upstreams together
 * @param receivers the lifetimes of upstreams that received each request
 * @param upstreamCalls what arrived at the upstreams
 * @param orders the orders that upstreams accepted
 * @param usageReports the reports of usage as they arrived
 */
record Evidence(
        SoakRecord record,
        Map<String, Integer> runs,
        Map<String, Set<String>> receivers,
        List<UpstreamStandIn.ReceivedCall> upstreamCalls,
        List<UpstreamStandIn.AcceptedOrder> orders,
        List<String> usageReports) {

    /** Gathers the evidence of a run. */
    static Evidence of(SoakWorld world) {
        Map<String, Integer> runs = new HashMap<>();
        Map<String, Set<String>> receivers = new HashMap<>();
        List<UpstreamStandIn.ReceivedCall> calls = new ArrayList<>();
        List<UpstreamStandIn.AcceptedOrder> orders = new ArrayList<>();
        for (UpstreamStandIn upstream : world.upstreams().values()) {
            upstream.executionCounts().forEach((id, count) -> runs.merge(id, count, Integer::sum));
            upstream.receivers()
                    .forEach(
                            (id, lifetimes) ->
                                    receivers
                                            .computeIfAbsent(id, call -> new HashSet<>())
                                            .addAll(lifetimes));
            calls.addAll(upstream.calls());
            orders.addAll(upstream.acceptedOrders());
        }
        return new Evidence(
                world.record(), runs, receivers, calls, orders, world.store().usageReports());
    }
}
