package org.fuchsialever.kernel.duty;

import java.util.concurrent.BlockingQueue;

/** What happens to an event that arrives at a full inbox. */
public enum OverflowPolicy {
    /** Rejects the new event; {@link Inbox#offer} returns false. */
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
    /** Discards the oldest queued event; for state reports that newer ones supersede. */
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
    /** Blocks the producer until there is space; must not be used by event loops. */
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
