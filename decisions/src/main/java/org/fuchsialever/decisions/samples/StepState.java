package org.fuchsialever.decisions.samples;

import java.util.LinkedHashMap;
import java.util.Map;

/** State of one step of a trainer. */
final class StepState {
    private final Submission mSubmission;
    private final Map<String, GroupState> mGroups = new LinkedHashMap<>();
    private final long mStartedNanos;
    private final int mTotal;
    private int mFinished;
    private int mCommitted;
    private int mDuplicateCount;
    private long mLastPosition = -1;
    private boolean mLateReported;

    StepState(Submission submission, long startedNanos) {
        mSubmission = submission;
        mStartedNanos = startedNanos;
        mTotal = submission.sampleCount();
        for (GroupSpec spec : submission.groups()) {
            mGroups.put(spec.group(), new GroupState(this, spec));
        }
    }

    Submission submission() {
        return mSubmission;
    }

    Iterable<GroupState> groups() {
        return mGroups.values();
    }

    SampleState sample(SampleId id) {
        GroupState group = mGroups.get(id.group());
        if (group == null) {
            throw new IllegalStateException("the submission has no sample " + id);
        }
        return group.samples().get(id.index());
    }

    void onStageChanged(SampleState.Stage from, SampleState.Stage to) {
        mFinished += (to.isFinished() ? 1 : 0) - (from.isFinished() ? 1 : 0);
        mCommitted +=
                (to == SampleState.Stage.COMMITTED ? 1 : 0)
                        - (from == SampleState.Stage.COMMITTED ? 1 : 0);
    }

    void onCommittedAt(long position) {
        mLastPosition = Math.max(mLastPosition, position);
    }

    boolean isAcknowledged(long acknowledged) {
        return mCommitted == mTotal && mLastPosition < acknowledged;
    }

    boolean markLateIfOverdue(long now) {
        if (mLateReported
                || mFinished == mTotal
                || now < mStartedNanos + mSubmission.deadlineNanos()) {
            return false;
        }
        mLateReported = true;
        return true;
    }

    int total() {
        return mTotal;
    }

    int duplicateCount() {
        return mDuplicateCount;
    }

    void countDuplicate() {
        mDuplicateCount++;
    }

    double unfinishedShare() {
        return (double) (mTotal - mFinished) / mTotal;
    }

    int urgency(long now) {
        return Urgency.of(now - mStartedNanos, mSubmission.deadlineNanos(), mFinished, mTotal);
    }
}
