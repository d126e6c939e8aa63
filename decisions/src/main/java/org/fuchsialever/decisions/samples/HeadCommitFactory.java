package org.fuchsialever.decisions.samples;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Creates commits from the state of one trainer. */
final class HeadCommitFactory {
    private final DeliveryLog mLog;
    private final Map<Long, StepState> mSteps;
    private final StalenessTracker mStaleness;

    HeadCommitFactory(DeliveryLog log, Map<Long, StepState> steps, StalenessTracker staleness) {
        mLog = log;
        mSteps = steps;
        mStaleness = staleness;
    }

    /**
     * Returns a commit of the cursor alone; its result also shows whether the state that was read
     * is current.
     */
    HeadCommit cursor(String writer, long headVersion) {
        return compose(writer, headVersion, List.of(), Option.none(), mLog.end(), mLog.nextBatch());
    }

    HeadCommit submission(String writer, long headVersion, Submission submission) {
        return compose(
                writer,
                headVersion,
                List.of(),
                Option.some(submission),
                mLog.end(),
                mLog.nextBatch());
    }

    /** Returns a commit that appends new samples and puts replacements into earlier batches. */
    HeadCommit batch(String writer, long headVersion, PendingBatch batch) {
        List<BatchEntry> appended = new ArrayList<>();
        Map<Long, BatchRecord> changed = new LinkedHashMap<>();
        int slot = 0;
        for (SampleState sample : batch.samples()) {
            BatchEntry entry =
                    new BatchEntry(sample.id(), batch.object(), slot, sample.generated().oldest());
            slot++;
            if (!sample.isReplacement()) {
                appended.add(entry);
            } else if (sample.position() >= mLog.acknowledged()) {
                BatchRecord earlier = mLog.batchAt(sample.position());
                BatchRecord base = changed.getOrDefault(earlier.number(), earlier);
                changed.put(earlier.number(), mLog.withReplacement(base, sample.position(), entry));
            }
        }
        List<BatchRecord> records = new ArrayList<>(changed.values());
        long end = mLog.end();
        long next = mLog.nextBatch();
        if (!appended.isEmpty()) {
            records.add(new BatchRecord(next, end, appended));
            end += appended.size();
            next++;
        }
        return compose(writer, headVersion, records, Option.none(), end, next);
    }

    private HeadCommit compose(
            String writer,
            long headVersion,
            List<BatchRecord> records,
            Option<Submission> submission,
            long end,
            long nextBatch) {
        Set<Long> openSteps = new TreeSet<>();
        mSteps.forEach(
                (number, step) -> {
                    if (!step.isAcknowledged(mLog.acknowledged())) {
                        openSteps.add(number);
                    }
                });
        submission.forEach(added -> openSteps.add(added.step()));
        long firstBatch = mLog.firstNeededBatch(openSteps);
        LogHead head =
                new LogHead(
                        mLog.acknowledged(),
                        firstBatch,
                        nextBatch,
                        end,
                        mStaleness.newest(),
                        List.copyOf(openSteps));
        return new HeadCommit(
                writer, headVersion, head, records, submission, mLog.firstBatch(), firstBatch);
    }
}
