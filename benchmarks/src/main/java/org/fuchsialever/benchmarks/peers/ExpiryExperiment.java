package org.fuchsialever.benchmarks.peers;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Compares two ways to find peers whose deadline has passed: one pass over all peers a second, and
 * a timer for each peer in a heap that every heartbeat moves. Argument: seed.
 */
public final class ExpiryExperiment {
    private static final int PEERS = 400;
    private static final int HEARTBEATS_PER_SECOND = 20;
    private static final int SECONDS = 20_000;
    private static final int REPEATS = 5;
    private static final long LIFETIME = 100;

    private ExpiryExperiment() {}

    /** Prints the nanoseconds per simulated second of both ways, best of several runs. */
    public static void main(String[] arguments) {
        long seed = Long.parseLong(arguments[0]);
        long sweep = Long.MAX_VALUE;
        long timers = Long.MAX_VALUE;
        long expired = 0;
        for (int i = 0; i < REPEATS; i++) {
            long start = System.nanoTime();
            expired += sweep(new SplittableRandom(seed));
            long middle = System.nanoTime();
            expired -= timers(new SplittableRandom(seed));
            sweep = Math.min(sweep, middle - start);
            timers = Math.min(timers, System.nanoTime() - middle);
        }
        System.out.printf(
                "%d peers: sweep %d ns/s, timers %d ns/s, difference of expirations %d%n",
                PEERS, sweep / SECONDS, timers / SECONDS, expired);
    }

    private static long sweep(SplittableRandom random) {
        long[] deadlines = new long[PEERS];
        long expired = 0;
        for (long second = 0; second < SECONDS; second++) {
            for (int i = 0; i < HEARTBEATS_PER_SECOND; i++) {
                deadlines[random.nextInt(PEERS)] = second + LIFETIME;
            }
            for (int peer = 0; peer < PEERS; peer++) {
                if (deadlines[peer] <= second) {
                    expired++;
                    deadlines[peer] = second + LIFETIME;
                }
            }
        }
        return expired;
    }

    private static long timers(SplittableRandom random) {
        Timer[] current = new Timer[PEERS];
        PriorityQueue<Timer> heap =
                new PriorityQueue<>((a, b) -> Long.compare(a.mDeadline, b.mDeadline));
        for (int peer = 0; peer < PEERS; peer++) {
            current[peer] = new Timer(peer, 0);
            heap.add(current[peer]);
        }
        long expired = 0;
        for (long second = 0; second < SECONDS; second++) {
            for (int i = 0; i < HEARTBEATS_PER_SECOND; i++) {
                int peer = random.nextInt(PEERS);
                heap.remove(current[peer]);
                current[peer] = new Timer(peer, second + LIFETIME);
                heap.add(current[peer]);
            }
            Timer first = heap.peek();
            while (first != null && first.mDeadline <= second) {
                heap.poll();
                expired++;
                current[first.mPeer] = new Timer(first.mPeer, second + LIFETIME);
                heap.add(current[first.mPeer]);
                first = heap.peek();
            }
        }
        return expired;
    }

    private static final class Timer {
        private final int mPeer;
        private final long mDeadline;

        Timer(int peer, long deadline) {
            mPeer = peer;
            mDeadline = deadline;
        }
    }
}
