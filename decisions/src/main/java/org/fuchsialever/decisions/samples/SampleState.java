package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** One sample on its way from submission to a fixed position. */
final class SampleState {
    private static final long NO_POSITION = -1;

    private final SampleId id;
    private final GroupState group;
    private final List<Long> attempts = new ArrayList<>();
    private Stage stage = Stage.PENDING;
    private long position = NO_POSITION;
    private int failures;
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
        group.step().moved(stage, next);
        stage = next;
    }

    /** Forgets the result, so that the sample is generated again. */
    void discard() {
        sample = null;
        attempts.clear();
        moveTo(Stage.PENDING);
    }

    /** Asks for a replacement of the sample at a fixed position. */
    void replaceAt(long fixedPosition) {
        position = fixedPosition;
        discard();
    }

    boolean isReplacement() {
        return position != NO_POSITION;
    }

    long position() {
        return position;
    }

    void fixed() {
        position = NO_POSITION;
        sample = null;
        moveTo(Stage.FIXED);
    }

    List<Long> attempts() {
        return attempts;
    }

    int failed() {
        failures++;
        return failures;
    }

    void generated(GeneratedSample result) {
        sample = result;
        failures = 0;
        moveTo(Stage.JUDGING);
    }

    void judged(double result) {
        score = result;
        failures = 0;
        moveTo(Stage.READY);
    }

    JudgedSample result() {
        return new JudgedSample(id, generated(), score);
    }

    GeneratedSample generated() {
        if (sample == null) {
            throw new IllegalStateException("no result of " + id);
        }
        return sample;
    }

    /** Where a sample is. */
    enum Stage {
        PENDING(false),
        GENERATING(false),
        JUDGING(false),
        READY(true),
        BATCHED(true),
        FIXED(true);

        private final boolean finished;

        Stage(boolean finished) {
            this.finished = finished;
        }

        boolean isFinished() {
            return finished;
        }
    }
}
