package org.fuchsialever.node.entry;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.stop.StopPlan;
import org.fuchsialever.decisions.stop.StopStep;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.batch.BatchDrain;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.node.trace.TraceLog;

/**
 * Drains the instance: reports that it is not ready, serves on, waits for calls in progress and for
 * the handover of submissions, closes the connections and answers what still runs at the end.
 */
final class EntryDrain implements AutoCloseable {
    private static final long CHECK_INTERVAL_MILLIS = 20;

    /** For the last bytes to callers; most of them take them at once. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(250);

    private final DrainSignal mSignal;
    private final BatchDrain mBatches;
    private final EntryServer mServer;
    private final StopTimes mTimes;
    private final TimeSource mTime;
    private final TraceLog mTrace;
    private final CountDownLatch mNever = new CountDownLatch(1);

    EntryDrain(
            DrainSignal signal,
            BatchDrain batches,
            EntryServer server,
            StopTimes times,
            TimeSource time,
            TraceLog trace) {
        mSignal = signal;
        mBatches = batches;
        mServer = server;
        mTimes = times;
        mTime = time;
        mTrace = trace;
    }

    @Override
    public void close() throws InterruptedException {
        mSignal.start(mTime.nanoTime());
        StopPlan plan = mTimes.plan(mSignal.since().get());
        mTrace.line("entry", "draining").with("inProgress", mServer.inProgress()).write();
        // Calls keep arriving until the load balancer has noticed, and on open connections.
        awaitAfter(StopStep.SERVING, plan);
        mServer.refuseNew();
        awaitAfter(StopStep.CLOSING, plan);
        int cut = mServer.answerRunning();
        awaitClosedConnections();
        mTrace.line("entry", "drained")
                .with("inProgress", cut)
                .with("connections", mServer.connections())
                .with("handedOver", String.valueOf(mBatches.await(0)))
                .with("millis", TimeUnit.NANOSECONDS.toMillis(elapsedNanos(plan)))
                .write();
    }

    private void awaitAfter(StopStep step, StopPlan plan) throws InterruptedException {
        while (step.next(plan, mTime.nanoTime(), pending()) == step) {
            pause();
        }
    }

    private StopStep.Pending pending() throws InterruptedException {
        return new StopStep.Pending(mServer.inProgress(), mBatches.await(0));
    }

    private void awaitClosedConnections() throws InterruptedException {
        long begin = mTime.nanoTime();
        while (mServer.connections() > 0 && mTime.nanoTime() - begin < FLUSH_TIMEOUT.toNanos()) {
            pause();
        }
    }

    private void pause() throws InterruptedException {
        // Nothing counts the latch down, so this waits for the full time.
        boolean ended = mNever.await(CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        if (ended) {
            mTrace.line("entry", "drain-wait-ended").write();
        }
    }

    private long elapsedNanos(StopPlan plan) {
        return mTime.nanoTime() - plan.signalledNanos();
    }
}
