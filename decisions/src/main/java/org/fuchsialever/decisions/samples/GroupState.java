package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.List;

/** The samples of one group. */
final class GroupState {
    private final StepState mStep;
    private final GroupSpec mSpec;
    private final List<SampleState> mSamples = new ArrayList<>();

    GroupState(StepState step, GroupSpec spec) {
        mStep = step;
        mSpec = spec;
        Submission submission = step.submission();
        for (int index = 0; index < spec.samples(); index++) {
            SampleId id =
                    new SampleId(submission.trainer(), submission.step(), spec.group(), index);
            mSamples.add(new SampleState(id, this));
        }
    }

    StepState step() {
        return mStep;
    }

    GroupSpec spec() {
        return mSpec;
    }

    List<SampleState> samples() {
        return mSamples;
    }

    List<SampleState> missing() {
        return mSamples.stream().filter(s -> s.stage() != SampleState.Stage.COMMITTED).toList();
    }

    /** Returns whether every sample is ready for a batch, in a batch or committed. */
    boolean isFinished() {
        return mSamples.stream().allMatch(sample -> sample.stage().isFinished());
    }
}
