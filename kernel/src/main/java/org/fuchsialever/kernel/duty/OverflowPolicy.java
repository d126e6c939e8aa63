package org.fuchsialever.kernel.duty;

import java.util.concurrent.BlockingQueue;

/** What happens to an event that arrives at a full inbox. */
public enum OverflowPolicy {
    /** The new event is not accepted and the producer is told so. */
    REFUSE {
        @Override
        <E> boolean insert(BlockingQueue<E> ring, E event, Runnable onOverflow) {
            boolean accepted = ring.offer(event);
            if (!accepted) {
                onOverflow.run();
            }
            return accepted;
        }
    },
    /** The oldest waiting event is discarded; for state reports that a newer one replaces. */
    DROP_OLDEST {
        @Override
        <E> boolean insert(BlockingQueue<E> ring, E event, Runnable onOverflow) {
            while (!ring.offer(event)) {
                if (ring.poll() != null) {
                    onOverflow.run();
                }
            }
            return true;
        }
    },
    /** The producer waits for space; never used by event loops. */
    BLOCK_PRODUCER {
        @Override
        <E> boolean insert(BlockingQueue<E> ring, E event, Runnable onOverflow) {
            if (ring.offer(event)) {
                return true;
            }
            onOverflow.run();
            try {
                ring.put(event);
                return true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
    };

    abstract <E> boolean insert(BlockingQueue<E> ring, E event, Runnable onOverflow);
}
