package org.fuchsialever.cli.soak;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.BatchRecord;
import org.fuchsialever.decisions.samples.HeadCommit;
import org.fuchsialever.decisions.samples.JudgedSample;
import org.fuchsialever.decisions.samples.LogHead;
import org.fuchsialever.decisions.samples.RestoredLog;
import org.fuchsialever.decisions.samples.RolloutEvent;
import org.fuchsialever.decisions.samples.Submission;

/** Rows and stored bodies of one trainer, with stale reads. */
final class SoakSampleStore {
    private final Map<String, List<JudgedSample>> mObjects = new HashMap<>();
    private final TreeMap<Long, BatchRecord> mBatches = new TreeMap<>();
    private final Map<Long, Submission> mSubmissions = new HashMap<>();
    private LogHead mHead = LogHead.EMPTY;
    private String mHeadWriter = "";
    private long mHeadVersion;
    private RestoredLog mReplica = new RestoredLog(0, LogHead.EMPTY, List.of(), List.of());
    private boolean mStale;

    void beginStaleReads() {
        mReplica = present();
        mStale = true;
    }

    void endStaleReads() {
        mStale = false;
    }

    void put(String object, List<JudgedSample> samples) {
        mObjects.putIfAbsent(object, samples);
    }

    JudgedSample body(String object, int slot) {
        return Option.of(mObjects.get(object))
                .getOrElseThrow(() -> new AssertionError("no object " + object))
                .get(slot);
    }

    /** Applies a commit if the lease of the writer is in force and its conditions hold. */
    RolloutEvent commit(TrainerName trainer, long term, HeadCommit commit, boolean guardHolds) {
        Option<String> known =
                commit.submission()
                        .flatMap(
                                added ->
                                        Option.of(mSubmissions.get(added.step()))
                                                .map(Submission::object));
        boolean headHolds = commit.expectedHeadVersion() == mHeadVersion;
        if (!guardHolds || !headHolds || known.isDefined()) {
            Option<RolloutEvent.RowWriter> other =
                    headHolds
                            ? Option.none()
                            : Option.some(new RolloutEvent.RowWriter(mHeadWriter, mHeadVersion));
            return new RolloutEvent.CommitConflicted(trainer, term, commit.writer(), other, known);
        }
        mHeadVersion++;
        mHeadWriter = commit.writer();
        mHead = commit.head();
        commit.batches().forEach(batch -> mBatches.put(batch.number(), batch));
        mBatches.headMap(commit.endDeleted()).clear();
        commit.submission().forEach(added -> mSubmissions.put(added.step(), added));
        return new RolloutEvent.CommitSucceeded(trainer, term, commit.writer(), mHeadVersion);
    }

    /** Returns the stored state at the given version of the head row or a later one. */
    RestoredLog read(long atLeastVersion) {
        return mStale && mReplica.headVersion() >= atLeastVersion ? mReplica : present();
    }

    private RestoredLog present() {
        return new RestoredLog(
                mHeadVersion,
                mHead,
                mHead.openSteps().stream()
                        .map(mSubmissions::get)
                        .map(known -> new RestoredLog.RestoredSubmission(known, 0))
                        .toList(),
                List.copyOf(mBatches.values()));
    }
}
