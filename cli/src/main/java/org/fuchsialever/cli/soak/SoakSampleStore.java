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
    private final Map<String, List<JudgedSample>> objects = new HashMap<>();
    private final TreeMap<Long, BatchRecord> batches = new TreeMap<>();
    private final Map<Long, Submission> submissions = new HashMap<>();
    private LogHead head = LogHead.EMPTY;
    private String headWriter = "";
    private long headVersion;
    private RestoredLog replica = new RestoredLog(0, LogHead.EMPTY, List.of(), List.of());
    private boolean stale;

    void beginStaleReads() {
        replica = present();
        stale = true;
    }

    void endStaleReads() {
        stale = false;
    }

    void put(String object, List<JudgedSample> samples) {
        objects.putIfAbsent(object, samples);
    }

    JudgedSample body(String object, int slot) {
        return Option.of(objects.get(object))
                .getOrElseThrow(() -> new AssertionError("no object " + object))
                .get(slot);
    }

    /** Applies a commit if the lease of the writer is in force and its conditions hold. */
    RolloutEvent commit(TrainerName trainer, long term, HeadCommit commit, boolean guardHolds) {
        Option<String> known =
                commit.submission()
                        .flatMap(
                                added ->
                                        Option.of(submissions.get(added.step()))
                                                .map(Submission::object));
        boolean headHolds = commit.expectedHeadVersion() == headVersion;
        if (!guardHolds || !headHolds || known.isDefined()) {
            Option<RolloutEvent.RowWriter> other =
                    headHolds
                            ? Option.none()
                            : Option.some(new RolloutEvent.RowWriter(headWriter, headVersion));
            return new RolloutEvent.CommitConflicted(trainer, term, commit.writer(), other, known);
        }
        headVersion++;
        headWriter = commit.writer();
        head = commit.head();
        commit.batches().forEach(batch -> batches.put(batch.number(), batch));
        batches.headMap(commit.endDeleted()).clear();
        commit.submission().forEach(added -> submissions.put(added.step(), added));
        return new RolloutEvent.CommitSucceeded(trainer, term, commit.writer(), headVersion);
    }

    /** Returns the stored state at the given version of the head row or a later one. */
    RestoredLog read(long atLeastVersion) {
        return stale && replica.headVersion() >= atLeastVersion ? replica : present();
    }

    private RestoredLog present() {
        return new RestoredLog(
                headVersion,
                head,
                head.openSteps().stream()
                        .map(submissions::get)
                        .map(known -> new RestoredLog.RestoredSubmission(known, 0))
                        .toList(),
                List.copyOf(batches.values()));
    }
}
