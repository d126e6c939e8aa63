package org.fuchsialever.decisions.samples;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.junit.jupiter.api.Test;

/** Verifies that the invariant checks on samples fire, by violating each rule once. */
class SampleChecksTest {
    private static final long TERM = 1;
    private static final Submission SUBMISSION = RolloutSimulation.submission(1, 1, 2);
    private static final SampleId FIRST = new SampleId(RolloutSimulation.TRAINER, 1, "g0", 0);
    private static final SampleId SECOND = new SampleId(RolloutSimulation.TRAINER, 1, "g0", 1);

    private final List<Invariant> mViolated = new ArrayList<>();
    private final List<RolloutAction> mActions = new ArrayList<>();
    private final InvariantMonitor mMonitor = (invariant, detail) -> mViolated.add(invariant);
    private final RolloutDuty mDuty =
            new RolloutDuty(
                    new RolloutSetup(
                            "i1",
                            RolloutLimits.DEFAULTS,
                            StragglerPolicy.NONE,
                            new LengthPredictor(),
                            new SplittableRandom(1),
                            mMonitor));

    @Test
    void noticesASampleWhoseTokenRangesHaveAGap() {
        restore(new RestoredLog(1, head(0), submissions(), List.of()));
        RolloutAction.CommitCursor confirmation = last(RolloutAction.CommitCursor.class);
        send(
                new RolloutEvent.CommitSucceeded(
                        RolloutSimulation.TRAINER, TERM, confirmation.commit().writer(), 2));
        RolloutAction.Generate generate = last(RolloutAction.Generate.class);
        List<TokenRange> gap =
                List.of(new TokenRange(1, 5, new WeightVersion(1), new UpstreamId("engine-1")));

        send(
                new RolloutEvent.SampleGenerated(
                        RolloutSimulation.TRAINER,
                        TERM,
                        generate.attempt(),
                        new GeneratedSample("text", gap, 0, 1)));

        assertThat(mViolated, contains(Invariant.SAMPLE_NAMES_TRUE_VERSIONS));
        assertThat(mActions.stream().anyMatch(RolloutAction.Judge.class::isInstance), is(false));
    }

    @Test
    void noticesASampleWithTwoPositionsInTheStoredLog() {
        BatchRecord twice = new BatchRecord(0, 0, List.of(entry(FIRST), entry(FIRST)));

        restore(new RestoredLog(1, head(2), submissions(), List.of(twice)));

        assertThat(mViolated, hasItem(Invariant.SAMPLE_EXACTLY_ONCE));
    }

    @Test
    void noticesAReplacementByAnotherSample() {
        BatchRecord batch = new BatchRecord(0, 0, List.of(entry(FIRST)));
        DeliveryLog log = new DeliveryLog(head(1), List.of(batch), mMonitor);

        log.withReplacement(batch, 0, entry(FIRST));
        assertThat(mViolated.isEmpty(), is(true));
        log.withReplacement(batch, 0, entry(SECOND));

        assertThat(mViolated, contains(Invariant.SAMPLE_EXACTLY_ONCE));
    }

    private void restore(RestoredLog log) {
        send(new RolloutEvent.LeaseAcquired(RolloutSimulation.TRAINER, TERM));
        send(new RolloutEvent.TrainerRestored(RolloutSimulation.TRAINER, TERM, log));
    }

    private void send(RolloutEvent event) {
        mDuty.onEvent(event, 0, mActions::add);
    }

    private <T extends RolloutAction> T last(Class<T> type) {
        return mActions.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }

    private static LogHead head(long nextPosition) {
        long nextBatch = nextPosition == 0 ? 0 : 1;
        return new LogHead(0, 0, nextBatch, nextPosition, new WeightVersion(1), List.of(1L));
    }

    private static List<RestoredLog.RestoredSubmission> submissions() {
        return List.of(new RestoredLog.RestoredSubmission(SUBMISSION, 0));
    }

    private static BatchEntry entry(SampleId id) {
        return new BatchEntry(id, "samples/one", 0, new WeightVersion(1));
    }
}
