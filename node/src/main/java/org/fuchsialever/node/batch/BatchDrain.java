package org.fuchsialever.node.batch;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Signals that all submissions were handed over to other instances during shutdown. */
public final class BatchDrain {
    private final CountDownLatch mDone = new CountDownLatch(1);

    void completed() {
        mDone.countDown();
    }

    /** Waits for the handover of all submissions; returns false if the timeout elapsed first. */
    public boolean await(long timeoutMillis) throws InterruptedException {
        return mDone.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }
}
