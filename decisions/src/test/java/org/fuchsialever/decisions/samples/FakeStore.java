package org.fuchsialever.decisions.samples;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** Table service and object store for one trainer, with stale reads. */
final class FakeStore {
    private final Map<String, List<JudgedSample>> objects = new HashMap<>();
    private final List<RestoredLog> history = new ArrayList<>();
    private final TreeMap<Long, BatchRecord> batches = new TreeMap<>();
    private final Map<Long, Submission> submissions = new HashMap<>();
    private LogHead head = LogHead.EMPTY;
    private String headWriter = "";
    private long headVersion;
    private long revision;
    private long guard;

    FakeStore() {
        history.add(snapshot());
    }

    /** Moves the lease; commits under an earlier one conflict from now on. */
    long takeLease() {
        guard++;
        return guard;
    }

    void put(String object, List<JudgedSample> samples) {
        objects.putIfAbsent(object, samples);
    }

    List<JudgedSample> body(String object) {
        return Option.of(objects.get(object)).getOrElseThrow(() -> new AssertionError(object));
    }

    RolloutEvent commit(RolloutAction action, long underGuard) {
        HeadCommit commit = commitOf(action);
        long term = termOf(action);
        Option<Submission> submission = commit.submission();
        Option<String> known =
                submission.flatMap(
                        added -> Option.of(submissions.get(added.step())).map(Submission::object));
        boolean headHolds = commit.expectedHeadVersion() == headVersion;
        if (underGuard != guard || !headHolds || known.isDefined()) {
            return new RolloutEvent.CommitConflicted(
                    RolloutWorld.TRAINER,
                    term,
                    commit.writer(),
                    headHolds
                            ? Option.none()
                            : Option.some(new RolloutEvent.RowWriter(headWriter, headVersion)),
                    known);
        }
        revision++;
        headVersion = revision;
        headWriter = commit.writer();
        head = commit.head();
        commit.batches().forEach(batch -> batches.put(batch.number(), batch));
        batches.headMap(commit.endDeleted()).clear();
        submission.forEach(added -> submissions.put(added.step(), added));
        history.add(snapshot());
        return new RolloutEvent.CommitSucceeded(
                RolloutWorld.TRAINER, term, commit.writer(), headVersion);
    }

    /** Returns the state at some revision from the given one on. */
    RestoredLog read(long atLeastVersion, RandomGenerator random) {
        int newest = history.size() - 1;
        int chosen = random.nextInt(4) == 0 ? random.nextInt(newest + 1) : newest;
        RestoredLog log = history.get(chosen);
        return log.headVersion() >= atLeastVersion ? log : history.get(newest);
    }

    private RestoredLog snapshot() {
        return new RestoredLog(
                headVersion,
                head,
                head.openSteps().stream()
                        .map(submissions::get)
                        .map(known -> new RestoredLog.RestoredSubmission(known, 0))
                        .toList(),
                List.copyOf(batches.values()));
    }

    private static HeadCommit commitOf(RolloutAction action) {
        return action instanceof RolloutAction.CommitBatch batch
                ? batch.commit()
                : ((RolloutAction.CommitCursor) action).commit();
    }

    private static long termOf(RolloutAction action) {
        return action instanceof RolloutAction.CommitBatch batch
                ? batch.term()
                : ((RolloutAction.CommitCursor) action).term();
    }
}
