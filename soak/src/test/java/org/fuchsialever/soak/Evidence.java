package org.fuchsialever.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.platform.SentAnswer;
import org.fuchsialever.platform.UpstreamStandIn;

/**
 * What callers, upstreams and the store have seen in a run.
 *
 * @param record what callers saw and what was done to the processes
 * @param runs how often each request ran at all upstreams together
 * @param receivers the lifetimes of upstreams that received each request
 * @param upstreamCalls what arrived at the upstreams
 * @param orders the orders that upstreams accepted
 * @param sentAnswers what upstreams sent for each request
 * @param usageReports the reports of usage as they arrived
 */
record Evidence(
        SoakRecord record,
        Map<String, Integer> runs,
        Map<String, Set<String>> receivers,
        List<UpstreamStandIn.ReceivedCall> upstreamCalls,
        List<UpstreamStandIn.AcceptedOrder> orders,
        Map<String, List<SentAnswer>> sentAnswers,
        List<String> usageReports) {

    /** Returns what upstreams sent for a request. */
    List<SentAnswer> sent(String requestId) {
        return sentAnswers.getOrDefault(requestId, List.of());
    }

    /** Gathers the evidence of a run. */
    static Evidence of(SoakWorld world) {
        Map<String, Integer> runs = new HashMap<>();
        Map<String, Set<String>> receivers = new HashMap<>();
        Map<String, List<SentAnswer>> answers = new HashMap<>();
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
            for (SentAnswer answer : upstream.sentAnswers()) {
                answers.computeIfAbsent(answer.requestId(), id -> new ArrayList<>()).add(answer);
            }
            calls.addAll(upstream.calls());
            orders.addAll(upstream.acceptedOrders());
        }
        return new Evidence(
                world.record(),
                runs,
                receivers,
                calls,
                orders,
                answers,
                world.store().usageReports());
    }
}
