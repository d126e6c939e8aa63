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
    private static final int OK = 200;
    private static final int SHOWN_CHARACTERS = 160;

    private final List<LiveCall> mLiveCalls = new ArrayList<>();
    private final Map<String, Submission> mSubmissions = new HashMap<>();
    private final Map<String, String> mListed = new HashMap<>();
    private final Map<String, Integer> mListedCounts = new HashMap<>();
    private final Map<String, Long> mFirstListed = new HashMap<>();
    private final Set<String> mEnded = new HashSet<>();
    private final List<Exit> mExits = new ArrayList<>();
    private final List<Span> mDisturbances = new ArrayList<>();
    private final List<Termination> mTerminations = new ArrayList<>();
    private final List<Interruption> mInterruptions = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();

    /**
     * A live call that has ended; the upstream is empty unless its response said that it is
     * leaving, and status 0 stands for a connection that ended without an answer.
     */
    record LiveCall(
            String id,
            String instance,
            LiveRoute route,
            String sentBody,
            long sentNanos,
            long endedNanos,
            int status,
            String stamp,
            String body,
            String leavingUpstream) {

        @Override
        public String toString() {
            return id
                    + " at "
                    + instance
                    + " "
                    + status
                    + " "
                    + stamp
                    + " ("
                    + body.length()
                    + ") "
                    + body.substring(0, Math.min(body.length(), SHOWN_CHARACTERS));
        }
    }

    /** A submission with the body of each item, and what its trainer was told. */
    record Submission(
            String id,
            Map<String, String> bodies,
            long minVersion,
            long sentNanos,
            boolean accepted,
            boolean refused) {

        Set<String> items() {
            return bodies.keySet();
        }
    }

    /** The end of a process that was told to stop; calm if nothing else was done to it. */
    record Exit(String instance, long tookNanos, boolean calm) {}

    /** When an instance was told to stop. */
    record Termination(String instance, long atNanos) {}

    /** The kill, stop or pause of an instance. */
    record Interruption(String instance, long atNanos) {}

    /** A disturbance that is not planned work. */
    record Span(long fromNanos, long toNanos) {}

    synchronized void liveCall(LiveCall call) {
        mLiveCalls.add(call);
    }

    synchronized List<LiveCall> liveCalls() {
        return List.copyOf(mLiveCalls);
    }

    synchronized void submission(Submission submission) {
        mSubmissions.put(submission.id(), submission);
    }

    synchronized List<Submission> submissions() {
        return List.copyOf(mSubmissions.values());
    }

    synchronized boolean isAccepted(String id) {
        Submission submission = mSubmissions.get(id);
        return submission != null && submission.accepted();
    }

    /** Notes a page of results; a position must always have the same content. */
    synchronized void results(String instance, String batch, int after, JsonNode page) {
        int position = after;
        for (JsonNode result : page.path("results")) {
            String key = batch + "/" + position;
            String content = result.toString();
            String before = mListed.putIfAbsent(key, content);
            mFirstListed.putIfAbsent(batch + " " + result.path("id").asText(), System.nanoTime());
            if (before != null && !before.equals(content)) {
                mViolations.add(
                        "position " + key + " at " + instance + ": " + before + " then " + content);
            }
            position++;
        }
    }

    /** Returns the results of a submission in the order of their positions. */
    synchronized List<JsonNode> listedResults(String batch) {
        List<JsonNode> results = new ArrayList<>();
        String content = mListed.get(batch + "/0");
        while (content != null) {
            results.add(Trainer.json(content));
            content = mListed.get(batch + "/" + results.size());
        }
        return results;
    }

    /** Returns how many positions of a submission are known from the first on. */
    synchronized int listedCount(String batch) {
        int count = mListedCounts.getOrDefault(batch, 0);
        while (mListed.containsKey(batch + "/" + count)) {
            count++;
        }
        mListedCounts.put(batch, count);
        return count;
    }

    /** Returns when a result was first seen, 0 if it was not. */
    synchronized long firstListedNanos(String batch, String item) {
        return mFirstListed.getOrDefault(batch + " " + item, 0L);
    }

    /** Notes that a trainer ends a submission; what it has not listed may be left out. */
    synchronized void ended(String batch) {
        mEnded.add(batch);
    }

    synchronized boolean isEnded(String batch) {
        return mEnded.contains(batch);
    }

    /** Notes the body of an item as an instance returned it. */
    synchronized void itemBody(Submission submission, String item, int status, String body) {
        if (status == OK && !body.equals(submission.bodies().get(item))) {
            mViolations.add("the body of " + item + " was read back as " + body);
        }
    }

    synchronized void violation(String text) {
        mViolations.add(text);
    }

    synchronized List<String> violations() {
        return List.copyOf(mViolations);
    }

    synchronized void terminated(String instance, long atNanos) {
        mTerminations.add(new Termination(instance, atNanos));
    }

    synchronized List<Termination> terminations() {
        return List.copyOf(mTerminations);
    }

    synchronized void interrupted(String instance) {
        mInterruptions.add(new Interruption(instance, System.nanoTime()));
    }

    /**
     * Returns whether an instance ran without a kill, stop or pause in a span of time. A stop lasts
     * until its process has ended.
     */
    synchronized boolean ranThrough(String instance, long fromNanos, long toNanos) {
        return mInterruptions.stream()
                .noneMatch(
                        interruption ->
                                interruption.instance.equals(instance)
                                        && interruption.atNanos >= fromNanos
                                        && interruption.atNanos <= toNanos);
    }

    synchronized void ended(String instance, long tookNanos, boolean calm) {
        mExits.add(new Exit(instance, tookNanos, calm));
        interrupted(instance);
    }

    synchronized List<Exit> exits() {
        return List.copyOf(mExits);
    }

    synchronized void disturbed(long fromNanos, long toNanos) {
        mDisturbances.add(new Span(fromNanos, toNanos));
    }

    /** Returns whether no unplanned disturbance touched a span of time. */
    synchronized boolean isCalm(long fromNanos, long toNanos) {
        return mDisturbances.stream()
                .noneMatch(span -> span.fromNanos <= toNanos && span.toNanos >= fromNanos);
    }

    /** Returns the bodies of all requests that callers have asked for, by the request's ID. */
    synchronized Map<String, String> asked() {
        Map<String, String> asked = new HashMap<>(Map.of(SoakRun.PROBE, ""));
        mLiveCalls.forEach(call -> asked.put(call.id(), call.sentBody()));
        for (Submission submission : mSubmissions.values()) {
            submission
                    .bodies()
                    .forEach(
                            (item, body) -> {
                                asked.put(item, body);
                                asked.put("s-" + item, "");
                            });
        }
        return asked;
    }
}
