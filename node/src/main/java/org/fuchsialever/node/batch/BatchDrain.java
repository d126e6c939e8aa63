package org.fuchsialever.node.batch;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Tells when all submissions have been handed over during shutdown. */
public final class BatchDrain {
    private final CountDownLatch done = new CountDownLatch(1);

    void completed() {
        done.countDown();
    }

    /** Waits until everything has been handed over; returns whether it was in time. */
    public boolean await(long millis) throws InterruptedException {
        return done.await(millis, TimeUnit.MILLISECONDS);
    }
}
