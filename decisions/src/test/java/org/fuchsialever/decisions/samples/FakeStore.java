package org.fuchsialever.decisions.samples;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** In-memory table service and object store for one trainer; reads can be stale. */
final class FakeStore {
    private final Map<String, List<JudgedSample>> mObjects = new HashMap<>();
    private final List<RestoredLog> mHistory = new ArrayList<>();
    private final TreeMap<Long, BatchRecord> mBatches = new TreeMap<>();
    private final Map<Long, Submission> mSubmissions = new HashMap<>();
    private LogHead mHead = LogHead.EMPTY;
    private String mHeadWriter = "";
    private long mHeadVersion;
    private long mRevision;
    private long mGuard;

    FakeStore() {
        mHistory.add(snapshot());
    }

    /** Moves the lease to a new holder; commits under an earlier lease conflict from now on. */
    long takeLease() {
        mGuard++;
        return mGuard;
    }

    void put(String object, List<JudgedSample> samples) {
        mObjects.putIfAbsent(object, samples);
    }

    List<JudgedSample> body(String object) {
        return Option.of(mObjects.get(object)).getOrElseThrow(() -> new AssertionError(object));
    }

    RolloutEvent commit(RolloutAction action, long underGuard) {
        HeadCommit commit = commitOf(action);
        long term = termOf(action);
        Option<Submission> submission = commit.submission();
        Option<String> known =
                submission.flatMap(
                        added -> Option.of(mSubmissions.get(added.step())).map(Submission::object));
        boolean headHolds = commit.expectedHeadVersion() == mHeadVersion;
        if (underGuard != mGuard || !headHolds || known.isDefined()) {
            return new RolloutEvent.CommitConflicted(
                    RolloutSimulation.TRAINER,
                    term,
                    commit.writer(),
                    headHolds
                            ? Option.none()
                            : Option.some(new RolloutEvent.RowWriter(mHeadWriter, mHeadVersion)),
                    known);
        }
        mRevision++;
        mHeadVersion = mRevision;
        mHeadWriter = commit.writer();
        mHead = commit.head();
        commit.batches().forEach(batch -> mBatches.put(batch.number(), batch));
        mBatches.headMap(commit.endDeleted()).clear();
        submission.forEach(added -> mSubmissions.put(added.step(), added));
        mHistory.add(snapshot());
        return new RolloutEvent.CommitSucceeded(
                RolloutSimulation.TRAINER, term, commit.writer(), mHeadVersion);
    }

    /** Returns the state at the given revision or a later one. */
    RestoredLog read(long atLeastVersion, RandomGenerator random) {
        int newest = mHistory.size() - 1;
        int chosen = random.nextInt(4) == 0 ? random.nextInt(newest + 1) : newest;
        RestoredLog log = mHistory.get(chosen);
        return log.headVersion() >= atLeastVersion ? log : mHistory.get(newest);
    }

    private RestoredLog snapshot() {
        return new RestoredLog(
                mHeadVersion,
                mHead,
                mHead.openSteps().stream()
                        .map(mSubmissions::get)
                        .map(known -> new RestoredLog.RestoredSubmission(known, 0))
                        .toList(),
                List.copyOf(mBatches.values()));
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
