package org.fuchsialever.kernel.invariant;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.fuchsialever.kernel.log.PartLogger;

/** Counts and logs violations without stopping the process. */
public final class CountingInvariantMonitor implements InvariantMonitor {
    private static final PartLogger LOG = PartLogger.of("invariant");

    private final Map<Invariant, Counter> mCounters = new EnumMap<>(Invariant.class);
    private final LongAdder mTotal = new LongAdder();

    /** Creates a monitor with one counter for each invariant. */
    public CountingInvariantMonitor(MeterRegistry meters) {
        for (Invariant invariant : Invariant.values()) {
            mCounters.put(
                    invariant,
                    Counter.builder("fuchsialever.invariant.violations")
                            .tag("invariant", invariant.metricName())
                            .register(meters));
        }
    }

    @Override
    public void reportViolation(Invariant invariant, String detail) {
        mTotal.increment();
        Option.of(mCounters.get(invariant)).forEach(Counter::increment);
        LOG.warning("Violated: " + invariant.statement() + " " + detail);
    }

    /** Returns the number of violations of all invariants. */
    public long violationCount() {
        return mTotal.sum();
    }
}
