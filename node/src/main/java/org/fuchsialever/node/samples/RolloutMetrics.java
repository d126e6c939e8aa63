package org.fuchsialever.node.samples;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.RolloutAction;
import org.fuchsialever.decisions.samples.RolloutCounter;

/** Metrics of rollouts, tagged by trainer. */
final class RolloutMetrics {
    private static final String TAG = "trainer";

    private final MeterRegistry mMeters;

    RolloutMetrics(MeterRegistry meters) {
        mMeters = meters;
    }

    void count(TrainerName trainer, RolloutCounter counter, int amount) {
        mMeters.counter(
                        "fuchsialever.rollout.events",
                        TAG,
                        trainer.value(),
                        "event",
                        counter.metricName())
                .increment(amount);
    }

    /** Records the trainer's idle time and the maximum staleness of the delivered samples. */
    void delivered(RolloutAction.Deliver delivery) {
        String trainer = delivery.trainer().value();
        mMeters.timer("fuchsialever.trainer.idle", TAG, trainer)
                .record(delivery.idleNanos(), TimeUnit.NANOSECONDS);
        mMeters.summary("fuchsialever.sample.staleness", TAG, trainer).record(delivery.staleness());
    }

    void failure(String stage) {
        mMeters.counter("fuchsialever.rollout.failures", "stage", stage).increment();
    }
}
