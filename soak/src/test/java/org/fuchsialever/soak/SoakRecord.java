package org.fuchsialever.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What callers saw, and what was done to the processes. Written by several threads. */
final class SoakRecord {
    private final List<LiveCall> liveCalls = new ArrayList<>();
    private final Map<String, Submission> submissions = new HashMap<>();
    private final Map<String, String> listed = new HashMap<>();
    private final List<Exit> exits = new ArrayList<>();
    private final List<Span> disturbances = new ArrayList<>();
    private final List<Termination> terminations = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * A live call that has ended; status 0 stands for a connection that ended without an answer.
     */
    record LiveCall(
            String id,
            String instance,
            boolean safe,
            long sentNanos,
            long endedNanos,
            int status,
            String stamp,
            String body) {}

    /** A submission and what its trainer was told. */
    record Submission(String id, Set<String> items, boolean accepted, boolean refused) {}

    /** The end of a process that was told to stop; calm if nothing else was done to it. */
    record Exit(String instance, long tookNanos, boolean calm) {}

    /** When an instance was told to stop. */
    record Termination(String instance, long atNanos) {}

    /** A disturbance that is not planned work. */
    record Span(long fromNanos, long toNanos) {}

    synchronized void liveCall(LiveCall call) {
        liveCalls.add(call);
    }

    synchronized List<LiveCall> liveCalls() {
        return List.copyOf(liveCalls);
    }

    synchronized void submission(Submission submission) {
        submissions.put(submission.id(), submission);
    }

    synchronized List<Submission> submissions() {
        return List.copyOf(submissions.values());
    }

    synchronized boolean isAccepted(String id) {
        Submission submission = submissions.get(id);
        return submission != null && submission.accepted();
    }

    /** Notes a page of results; a position must always have the same content. */
    synchronized void results(String instance, String batch, int after, JsonNode page) {
        int position = after;
        for (JsonNode result : page.path("results")) {
            String key = batch + "/" + position;
            String content = result.toString();
            String before = listed.putIfAbsent(key, content);
            if (before != null && !before.equals(content)) {
                violations.add(
                        "position " + key + " at " + instance + ": " + before + " then " + content);
            }
            position++;
        }
    }

    /** Returns the results of a submission in the order of their positions. */
    synchronized List<JsonNode> listedResults(String batch) {
        List<JsonNode> results = new ArrayList<>();
        String content = listed.get(batch + "/0");
        while (content != null) {
            results.add(Trainer.json(content));
            content = listed.get(batch + "/" + results.size());
        }
        return results;
    }

    synchronized void violation(String text) {
        violations.add(text);
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    synchronized void terminated(String instance, long atNanos) {
        terminations.add(new Termination(instance, atNanos));
    }

    synchronized List<Termination> terminations() {
        return List.copyOf(terminations);
    }

    synchronized void ended(String instance, long tookNanos, boolean calm) {
        exits.add(new Exit(instance, tookNanos, calm));
    }

    synchronized List<Exit> exits() {
        return List.copyOf(exits);
    }

    synchronized void disturbed(long fromNanos, long toNanos) {
        disturbances.add(new Span(fromNanos, toNanos));
    }

    /** Returns whether no unplanned disturbance touched a span of time. */
    synchronized boolean isCalm(long fromNanos, long toNanos) {
        return disturbances.stream()
                .noneMatch(span -> span.fromNanos <= toNanos && span.toNanos >= fromNanos);
    }

    /** Returns the identities of all requests that callers have asked for. */
    synchronized Set<String> asked() {
        Set<String> asked = new HashSet<>(Set.of(SoakRun.PROBE));
        liveCalls.forEach(call -> asked.add(call.id()));
        for (Submission submission : submissions.values()) {
            for (String item : submission.items()) {
                asked.add(item);
                asked.add("s-" + item);
            }
        }
        return asked;
    }
}
