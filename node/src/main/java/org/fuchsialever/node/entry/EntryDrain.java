package org.fuchsialever.node.entry;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.fuchsialever.node.batch.BatchDrain;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.node.trace.TraceLog;

/**
 * Drains the instance: reports that it is not ready, serves on for the linger time, then waits for
 * calls in progress and for the handover of submissions, until the deadline.
 */
final class EntryDrain implements AutoCloseable {
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final DrainSignal mPhases;
    private final BatchDrain mBatches;
    private final IntSupplier mInProgress;
    private final Duration mLinger;
    private final Duration mDeadline;
    private final TraceLog mTrace;
    private final CountDownLatch mNever = new CountDownLatch(1);

    EntryDrain(
            DrainSignal phases,
            BatchDrain batches,
            IntSupplier inProgress,
            Duration linger,
            Duration deadline,
            TraceLog trace) {
        mPhases = phases;
        mBatches = batches;
        mInProgress = inProgress;
        mLinger = linger;
        mDeadline = deadline;
        mTrace = trace;
    }

    @Override
    public void close() throws InterruptedException {
        long startNanos = System.nanoTime();
        mPhases.start();
        mTrace.line("entry", "draining").with("inProgress", mInProgress.getAsInt()).write();
        // Calls keep arriving until the load balancer has noticed.
        pause(mLinger.toMillis());
        while (mInProgress.getAsInt() > 0 && remainingMillis(startNanos) > 0) {
            pause(CHECK_INTERVAL_MILLIS);
        }
        boolean handedOver = mBatches.await(Math.max(1, remainingMillis(startNanos)));
        mTrace.line("entry", "drained")
                .with("inProgress", mInProgress.getAsInt())
                .with("handedOver", String.valueOf(handedOver))
                .with("millis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .write();
    }

    private void pause(long millis) throws InterruptedException {
        // Nothing counts the latch down, so this waits for the full time.
        boolean ended = mNever.await(millis, TimeUnit.MILLISECONDS);
        if (ended) {
            mTrace.line("entry", "drain-wait-ended").write();
        }
    }

    private long remainingMillis(long startNanos) {
        return mDeadline.toMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
