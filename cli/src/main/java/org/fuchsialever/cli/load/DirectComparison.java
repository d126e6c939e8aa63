package org.fuchsialever.cli.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.Locale;
import reactor.core.publisher.Mono;

/**
 * Compares calls through an instance with the same calls sent directly to the upstreams. Short
 * phases alternate, and each pair starts with the other side, so that a slow drift of the machine
 * meets both sides alike.
 */
final class DirectComparison {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double MEDIAN = 50;
    private static final double NINETY_NINE = 99;

    private final LoadRunner mRunner;
    private final Side mInstance;
    private final Side mDirect;

    DirectComparison(LoadRunner runner, LoadTarget instance, LoadTarget direct) {
        mRunner = runner;
        mInstance = new Side(instance);
        mDirect = new Side(direct);
    }

    /** Runs one pair of phases with the same plan. */
    void runPair(int number, LoadPlan plan) {
        Side first = number % 2 == 0 ? mInstance : mDirect;
        Side second = first == mInstance ? mDirect : mInstance;
        first.run(mRunner, plan);
        second.run(mRunner, plan);
    }

    /** Runs the plan on both sides without recording it. */
    void warmUp(LoadPlan plan) {
        mRunner.run(plan, mInstance.mTarget, new LoadResult()).block();
        mRunner.run(plan, mDirect.mTarget, new LoadResult()).block();
    }

    LoadResult instanceResult() {
        return mInstance.mResult;
    }

    LoadResult directResult() {
        return mDirect.mResult;
    }

    double addedFirstByteMillis(double percentile) {
        return mInstance.mResult.firstByteMillis(percentile)
                - mDirect.mResult.firstByteMillis(percentile);
    }

    double addedTotalMillis(double percentile) {
        return mInstance.mResult.totalMillis(percentile) - mDirect.mResult.totalMillis(percentile);
    }

    /**
     * Returns the requests that one core of the instance serves in a second. The processor time of
     * an instance in this process is the time per request through the instance minus the time per
     * request sent directly, because load tool and stand-ins use the same process.
     */
    double requestsPerCoreSecond() {
        return NANOS_PER_SECOND / Math.max(1, addedCpuNanos());
    }

    private double addedCpuNanos() {
        return mInstance.cpuNanosPerRequest() - mDirect.cpuNanosPerRequest();
    }

    void toJson(ObjectNode body, boolean inProcess) {
        mInstance.mResult.toJson(body.putObject(mInstance.mTarget.name()));
        mDirect.mResult.toJson(body.putObject(mDirect.mTarget.name()));
        ObjectNode added = body.putObject("added_ms");
        added.put("first_byte_p50", addedFirstByteMillis(MEDIAN));
        added.put("first_byte_p99", addedFirstByteMillis(NINETY_NINE));
        added.put("total_p50", addedTotalMillis(MEDIAN));
        added.put("total_p99", addedTotalMillis(NINETY_NINE));
        if (inProcess) {
            body.put("added_cpu_us_per_request", addedCpuNanos() / NANOS_PER_MICRO);
            body.put("requests_per_core_second", requestsPerCoreSecond());
        }
    }

    void print(PrintStream out, boolean inProcess) {
        mInstance.mResult.print(out, mInstance.mTarget.name());
        mDirect.mResult.print(out, mDirect.mTarget.name());
        out.println("added latency, milliseconds");
        print(out, "p50", MEDIAN);
        print(out, "p99", NINETY_NINE);
        if (inProcess) {
            out.printf(
                    Locale.ROOT,
                    "added processor time per request: %.1f us; requests per second and core of"
                            + " the instance: %.0f%n",
                    addedCpuNanos() / NANOS_PER_MICRO,
                    requestsPerCoreSecond());
        }
    }

    private void print(PrintStream out, String label, double percentile) {
        out.printf(
                Locale.ROOT,
                "  %-16s %12.3f %12.3f%n",
                label,
                addedFirstByteMillis(percentile),
                addedTotalMillis(percentile));
    }

    private static final class Side {
        private final LoadTarget mTarget;
        private final LoadResult mResult = new LoadResult();
        private long mCpuNanos;

        private Side(LoadTarget target) {
            mTarget = target;
        }

        private void run(LoadRunner runner, LoadPlan plan) {
            long before = processCpuNanos();
            Mono<Void> phase = runner.run(plan, mTarget, mResult);
            phase.block();
            mCpuNanos += processCpuNanos() - before;
        }

        private double cpuNanosPerRequest() {
            return (double) mCpuNanos / Math.max(1, mResult.count());
        }

        private static long processCpuNanos() {
            return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class)
                    .getProcessCpuTime();
        }
    }
}
