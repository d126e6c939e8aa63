package org.fuchsialever.node.forward;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.decisions.forward.ForwardAction;
import org.fuchsialever.node.trace.TraceLog;

/** Shows how many calls wait for a slot of each service. Used by the thread of the duty only. */
final class QueueTrace {
    private final TraceLog mTrace;
    private final MeterRegistry mMeters;
    private final Map<String, AtomicInteger> mLengths = new HashMap<>();

    QueueTrace(TraceLog trace, MeterRegistry meters) {
        mTrace = trace;
        mMeters = meters;
    }

    /** Sets the gauge of a service and writes a line. */
    void note(ForwardAction.QueueLength length) {
        mLengths.computeIfAbsent(length.service(), this::gauge).set(length.waiting());
        mTrace.line("forward", "queue")
                .with("service", length.service())
                .with("waiting", length.waiting())
                .write();
    }

    private AtomicInteger gauge(String service) {
        return Objects.requireNonNull(
                mMeters.gauge(
                        "fuchsialever.forward.queue",
                        Tags.of("service", service),
                        new AtomicInteger()));
    }
}
