package org.fuchsialever.node.entry;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.memory.BodyVerdict;
import org.fuchsialever.decisions.memory.BodyVerdict.Outcome;
import org.fuchsialever.decisions.memory.MemoryBudget;
import org.fuchsialever.decisions.memory.MemoryShare;
import org.fuchsialever.kernel.time.TimeSource;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/** The memory budget of the instance, and the callers that wait for room. */
final class InstanceMemory {
    private static final BodyVerdict ADMITTED =
            new BodyVerdict(Outcome.ADMITTED, MemoryShare.LARGE_BODY, 0);

    private final MemoryBudget mBudget;
    private final TimeSource mTime;
    private final Scheduler mTimers;
    private final MeterRegistry mMeters;
    private final Map<Long, Waiting> mWaiting = new HashMap<>();
    private long mLastTicket;

    /**
     * Creates the budget.
     *
     * @param budgetBytes the bytes of all bodies and responses
     * @param timers ends the wait for room
     */
    InstanceMemory(long budgetBytes, TimeSource time, Scheduler timers, MeterRegistry meters) {
        mBudget = new MemoryBudget(budgetBytes);
        mTime = time;
        mTimers = timers;
        mMeters = meters;
        for (MemoryShare share : MemoryShare.values()) {
            meters.gauge(
                    "fuchsialever.memory.used",
                    Tags.of("share", share.name()),
                    share,
                    this::usedBytes);
        }
    }

    /** Opens the account of one request. */
    Lease open() {
        return new Lease();
    }

    /** Returns whether room for responses is short. */
    synchronized boolean responsesAreTight() {
        return mBudget.isTight(MemoryShare.RESPONSE);
    }

    private synchronized double usedBytes(MemoryShare share) {
        return mBudget.usedBytes(share);
    }

    private static void resume(List<Waiting> admitted) {
        // A caller that has left meanwhile returns its room when its request is closed.
        admitted.forEach(one -> one.sink.tryEmitValue(ADMITTED));
    }

    /** Takes the waits of the given tickets; their room is reserved. */
    private List<Waiting> admitted(List<Long> tickets) {
        List<Waiting> admitted = new ArrayList<>();
        Deque<Long> open = new ArrayDeque<>(tickets);
        while (!open.isEmpty()) {
            Waiting one = mWaiting.remove(open.removeFirst());
            if (one != null && one.lease.mClosed) {
                open.addAll(mBudget.release(MemoryShare.LARGE_BODY, one.bytes, mTime.nanoTime()));
            } else if (one != null) {
                one.lease.add(MemoryShare.LARGE_BODY, one.bytes);
                admitted.add(one);
            }
        }
        return admitted;
    }

    private record Waiting(Lease lease, long bytes, Sinks.One<BodyVerdict> sink) {}

    /** The memory that one request holds, until it is closed. */
    final class Lease implements AutoCloseable {
        private final Map<MemoryShare, Long> mHeld = new EnumMap<>(MemoryShare.class);
        private boolean mClosed;

        private Lease() {}

        /** Asks for the room of a body; waits for it if it probably comes in time. */
        Mono<BodyVerdict> admit(long bytes, Duration patience) {
            Sinks.One<BodyVerdict> sink = Sinks.one();
            BodyVerdict verdict;
            long ticket;
            synchronized (InstanceMemory.this) {
                ticket = ++mLastTicket;
                verdict = mBudget.request(ticket, bytes, patience.toNanos(), mTime.nanoTime());
                if (verdict.outcome() == Outcome.WAITING) {
                    mWaiting.put(ticket, new Waiting(this, bytes, sink));
                } else if (verdict.outcome() == Outcome.ADMITTED) {
                    add(verdict.share(), bytes);
                }
            }
            count(verdict);
            return verdict.outcome() == Outcome.WAITING
                    ? sink.asMono()
                            .doOnCancel(() -> withdraw(ticket))
                            .timeout(patience, Mono.fromSupplier(() -> outwaited(bytes)), mTimers)
                            .doOnNext(this::count)
                    : Mono.just(verdict);
        }

        private void count(BodyVerdict verdict) {
            mMeters.counter("fuchsialever.memory.bodies", "outcome", verdict.outcome().name())
                    .increment();
        }

        private void withdraw(long ticket) {
            List<Waiting> next;
            synchronized (InstanceMemory.this) {
                if (mWaiting.remove(ticket) == null) {
                    return;
                }
                next = admitted(mBudget.withdraw(ticket));
            }
            resume(next);
        }

        private BodyVerdict outwaited(long bytes) {
            return new BodyVerdict(
                    Outcome.REJECTED, MemoryShare.LARGE_BODY, retryAfterMillis(bytes));
        }

        /** Returns when there is probably room for a body. */
        long retryAfterMillis(long bytes) {
            synchronized (InstanceMemory.this) {
                return mBudget.retryAfterMillis(bytes, mTime.nanoTime());
            }
        }

        /** Returns whether an otherwise unused budget would have room for further bytes. */
        boolean canEverTake(long bytes) {
            synchronized (InstanceMemory.this) {
                return mBudget.canHold(bytes + mHeld.getOrDefault(MemoryShare.LARGE_BODY, 0L));
            }
        }

        /** Takes room without waiting; returns false if there is none. */
        boolean tryTake(MemoryShare share, long bytes) {
            synchronized (InstanceMemory.this) {
                if (!mClosed && mBudget.tryTake(share, bytes)) {
                    add(share, bytes);
                    return true;
                }
            }
            mMeters.counter("fuchsialever.memory.refused", "share", share.name()).increment();
            return false;
        }

        /** Returns room before the end of the request. */
        void giveBack(MemoryShare share, long bytes) {
            List<Waiting> next;
            synchronized (InstanceMemory.this) {
                if (mClosed) {
                    return;
                }
                add(share, -bytes);
                next = admitted(mBudget.release(share, bytes, mTime.nanoTime()));
            }
            resume(next);
        }

        private void add(MemoryShare share, long bytes) {
            mHeld.merge(share, bytes, Long::sum);
        }

        @Override
        public void close() {
            List<Waiting> next = new ArrayList<>();
            synchronized (InstanceMemory.this) {
                mClosed = true;
                for (Map.Entry<MemoryShare, Long> held : mHeld.entrySet()) {
                    next.addAll(
                            admitted(
                                    mBudget.release(
                                            held.getKey(), held.getValue(), mTime.nanoTime())));
                }
                mHeld.clear();
            }
            resume(next);
        }
    }
}
