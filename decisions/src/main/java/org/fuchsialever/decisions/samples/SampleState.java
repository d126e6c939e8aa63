package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** State of one sample from its submission to a committed position. */
final class SampleState {
    private static final long NO_POSITION = -1;

    private final SampleId mId;
    private final GroupState mGroup;
    private final List<Long> mAttempts = new ArrayList<>();
    private Stage mStage = Stage.PENDING;
    private long mPosition = NO_POSITION;
    private int mFailureCount;
    private double mScore;
    private @Nullable GeneratedSample mSample;

    SampleState(SampleId id, GroupState group) {
        mId = id;
        mGroup = group;
    }

    SampleId id() {
        return mId;
    }

    GroupState group() {
        return mGroup;
    }

    Stage stage() {
        return mStage;
    }

    void moveTo(Stage next) {
        mGroup.step().onStageChanged(mStage, next);
        mStage = next;
    }

    /** Discards the result so that the sample is generated again. */
    void discard() {
        mSample = null;
        mAttempts.clear();
        moveTo(Stage.PENDING);
    }

    /** Requests a replacement for the sample at a committed position. */
    void requestReplacementAt(long fixedPosition) {
        mPosition = fixedPosition;
        discard();
    }

    boolean isReplacement() {
        return mPosition != NO_POSITION;
    }

    long position() {
        return mPosition;
    }

    void onCommitted() {
        mPosition = NO_POSITION;
        mSample = null;
        moveTo(Stage.COMMITTED);
    }

    List<Long> attempts() {
        return mAttempts;
    }

    int recordFailure() {
        mFailureCount++;
        return mFailureCount;
    }

    void onGenerated(GeneratedSample result) {
        mSample = result;
        mFailureCount = 0;
        moveTo(Stage.JUDGING);
    }

    void onJudged(double result) {
        mScore = result;
        mFailureCount = 0;
        moveTo(Stage.READY);
    }

    JudgedSample judgedSample() {
        return new JudgedSample(mId, generated(), mScore);
    }

    GeneratedSample generated() {
        if (mSample == null) {
            throw new IllegalStateException("no generated result for sample " + mId);
        }
        return mSample;
    }

    /** Stage of processing of a sample. */
    enum Stage {
        PENDING(false),
        GENERATING(false),
        JUDGING(false),
        READY(true),
        BATCHED(true),
        COMMITTED(true);

        private final boolean mFinished;

        Stage(boolean finished) {
            mFinished = finished;
        }

        boolean isFinished() {
            return mFinished;
        }
    }
}
