package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.List;

/** The samples of one group. */
final class GroupState {
    private final StepState step;
    private final GroupSpec spec;
    private final List<SampleState> samples = new ArrayList<>();

    GroupState(StepState step, GroupSpec spec) {
        this.step = step;
        this.spec = spec;
        Submission submission = step.submission();
        for (int index = 0; index < spec.samples(); index++) {
            SampleId id =
                    new SampleId(submission.trainer(), submission.step(), spec.group(), index);
            samples.add(new SampleState(id, this));
        }
    }

    StepState step() {
        return step;
    }

    GroupSpec spec() {
        return spec;
    }

    List<SampleState> samples() {
        return samples;
    }

    List<SampleState> missing() {
        return samples.stream().filter(s -> s.stage() != SampleState.Stage.COMMITTED).toList();
    }

    /** Returns whether every sample is ready for a batch, in a batch or committed. */
    boolean isFinished() {
        return samples.stream().allMatch(sample -> sample.stage().isFinished());
    }
}
