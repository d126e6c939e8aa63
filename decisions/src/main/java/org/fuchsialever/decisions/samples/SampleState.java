package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** State of one sample from its submission to a committed position. */
final class SampleState {
    private static final long NO_POSITION = -1;

    private final SampleId id;
    private final GroupState group;
    private final List<Long> attempts = new ArrayList<>();
    private Stage stage = Stage.PENDING;
    private long position = NO_POSITION;
    private int failureCount;
    private double score;
    private @Nullable GeneratedSample sample;

    SampleState(SampleId id, GroupState group) {
        this.id = id;
        this.group = group;
    }

    SampleId id() {
        return id;
    }

    GroupState group() {
        return group;
    }

    Stage stage() {
        return stage;
    }

    void moveTo(Stage next) {
        group.step().onStageChanged(stage, next);
        stage = next;
    }

    /** Discards the result so that the sample is generated again. */
    void discard() {
        sample = null;
        attempts.clear();
        moveTo(Stage.PENDING);
    }

    /** Requests a replacement for the sample at a committed position. */
    void requestReplacementAt(long fixedPosition) {
        position = fixedPosition;
        discard();
    }

    boolean isReplacement() {
        return position != NO_POSITION;
    }

    long position() {
        return position;
    }

    void onCommitted() {
        position = NO_POSITION;
        sample = null;
        moveTo(Stage.COMMITTED);
    }

    List<Long> attempts() {
        return attempts;
    }

    int recordFailure() {
        failureCount++;
        return failureCount;
    }

    void onGenerated(GeneratedSample result) {
        sample = result;
        failureCount = 0;
        moveTo(Stage.JUDGING);
    }

    void onJudged(double result) {
        score = result;
        failureCount = 0;
        moveTo(Stage.READY);
    }

    JudgedSample judgedSample() {
        return new JudgedSample(id, generated(), score);
    }

    GeneratedSample generated() {
        if (sample == null) {
            throw new IllegalStateException("no generated result for sample " + id);
        }
        return sample;
    }

    /** Stage of processing of a sample. */
    enum Stage {
        PENDING(false),
        GENERATING(false),
        JUDGING(false),
        READY(true),
        BATCHED(true),
        COMMITTED(true);

        private final boolean finished;

        Stage(boolean finished) {
            this.finished = finished;
        }

        boolean isFinished() {
            return finished;
        }
    }
}
