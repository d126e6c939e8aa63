package org.fuchsialever.decisions.samples;

import java.util.LinkedHashMap;
import java.util.Map;

/** State of one step of a trainer. */
final class StepState {
    private final Submission submission;
    private final Map<String, GroupState> groups = new LinkedHashMap<>();
    private final long startedNanos;
    private final int total;
    private int finished;
    private int committed;
    private int duplicateCount;
    private long lastPosition = -1;
    private boolean lateReported;

    StepState(Submission submission, long startedNanos) {
        this.submission = submission;
        this.startedNanos = startedNanos;
        this.total = submission.sampleCount();
        for (GroupSpec spec : submission.groups()) {
            groups.put(spec.group(), new GroupState(this, spec));
        }
    }

    Submission submission() {
        return submission;
    }

    Iterable<GroupState> groups() {
        return groups.values();
    }

    SampleState sample(SampleId id) {
        GroupState group = groups.get(id.group());
        if (group == null) {
            throw new IllegalStateException("the submission has no sample " + id);
        }
        return group.samples().get(id.index());
    }

    void onStageChanged(SampleState.Stage from, SampleState.Stage to) {
        finished += (to.isFinished() ? 1 : 0) - (from.isFinished() ? 1 : 0);
        committed +=
                (to == SampleState.Stage.COMMITTED ? 1 : 0)
                        - (from == SampleState.Stage.COMMITTED ? 1 : 0);
    }

    void onCommittedAt(long position) {
        lastPosition = Math.max(lastPosition, position);
    }

    boolean isAcknowledged(long acknowledged) {
        return committed == total && lastPosition < acknowledged;
    }

    boolean markLateIfOverdue(long now) {
        if (lateReported || finished == total || now < startedNanos + submission.deadlineNanos()) {
            return false;
        }
        lateReported = true;
        return true;
    }

    int total() {
        return total;
    }

    int duplicateCount() {
        return duplicateCount;
    }

    void countDuplicate() {
        duplicateCount++;
    }

    double unfinishedShare() {
        return (double) (total - finished) / total;
    }

    int urgency(long now) {
        return Urgency.of(now - startedNanos, submission.deadlineNanos(), finished, total);
    }
}
