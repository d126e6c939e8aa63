package org.fuchsialever.node.entry;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.fuchsialever.node.batch.BatchDrain;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.node.trace.TraceLog;

/** Shuts down without cutting a call: reports not ready, serves on, waits for the last answer. */
final class EntryDrain implements AutoCloseable {
    private static final long CHECK_MILLIS = 50;

    private final DrainSignal phases;
    private final BatchDrain batches;
    private final IntSupplier inProgress;
    private final Duration linger;
    private final Duration deadline;
    private final TraceLog trace;
    private final CountDownLatch never = new CountDownLatch(1);

    EntryDrain(
            DrainSignal phases,
            BatchDrain batches,
            IntSupplier inProgress,
            Duration linger,
            Duration deadline,
            TraceLog trace) {
        this.phases = phases;
        this.batches = batches;
        this.inProgress = inProgress;
        this.linger = linger;
        this.deadline = deadline;
        this.trace = trace;
    }

    @Override
    public void close() throws InterruptedException {
        long begin = System.nanoTime();
        phases.start();
        trace.line("entry", "draining").with("inProgress", inProgress.getAsInt()).write();
        // Callers arrive until the balancer has noticed.
        pause(linger.toMillis());
        while (inProgress.getAsInt() > 0 && left(begin) > 0) {
            pause(CHECK_MILLIS);
        }
        boolean handedOver = batches.await(Math.max(1, left(begin)));
        trace.line("entry", "drained")
                .with("inProgress", inProgress.getAsInt())
                .with("handedOver", String.valueOf(handedOver))
                .with("millis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin))
                .write();
    }

    private void pause(long millis) throws InterruptedException {
        // Nothing counts the latch down, so this waits for the whole time.
        boolean ended = never.await(millis, TimeUnit.MILLISECONDS);
        if (ended) {
            trace.line("entry", "drain-wait-ended").write();
        }
    }

    private long left(long begin) {
        return deadline.toMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
    }
}
