package org.fuchsialever.decisions.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.memory.BodyVerdict.Outcome;

/**
 * Decides which bodies are read, wait or are rejected, so that all of them and all responses stay
 * within one number of bytes. A body is reserved whole before its first byte is read; two bodies
 * that are half read can therefore never wait for each other. Has one user at a time.
 */
public final class MemoryBudget {
    /** More waiting connections would hold as much in their receive buffers as their bodies. */
    private static final int MAX_WAITING = 256;

    /** While no room has returned lately: callers that come back sooner mostly find none. */
    private static final long DEFAULT_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 5_000;

    private final long mBudgetBytes;
    private final Map<MemoryShare, Long> mUsed = new EnumMap<>(MemoryShare.class);
    private final Deque<Waiting> mWaiting = new ArrayDeque<>();
    private final ReleaseRate mRate = new ReleaseRate();
    private long mWaitingBytes;

    /** Creates an unused budget. */
    public MemoryBudget(long budgetBytes) {
        mBudgetBytes = budgetBytes;
        for (MemoryShare share : MemoryShare.values()) {
            mUsed.put(share, 0L);
        }
    }

    /**
     * Asks for the room of a body.
     *
     * @param ticket identifies the body if it waits
     * @param bytes the memory that it takes
     * @param patienceNanos how long its caller can wait before it is read
     */
    public BodyVerdict request(long ticket, long bytes, long patienceNanos, long now) {
        MemoryShare own = MemoryShare.ofBody(bytes);
        if (own == MemoryShare.SMALL_BODY && tryTake(own, bytes)) {
            return BodyVerdict.of(Outcome.ADMITTED, own);
        }
        MemoryShare large = MemoryShare.LARGE_BODY;
        if (!canHold(bytes)) {
            return BodyVerdict.of(Outcome.NEVER_FITS, large);
        }
        if (mWaiting.isEmpty() && tryTake(large, bytes)) {
            return BodyVerdict.of(Outcome.ADMITTED, large);
        }
        long missing = mWaitingBytes + bytes - free(large);
        boolean outlastsPatience = mRate.nanosFor(missing, 0, now) > patienceNanos;
        boolean queueIsFull =
                mWaiting.size() >= MAX_WAITING
                        || mWaitingBytes + bytes > large.limitBytes(mBudgetBytes);
        if (outlastsPatience || queueIsFull) {
            return BodyVerdict.rejected(retryAfterMillis(bytes, now));
        }
        mWaiting.addLast(new Waiting(ticket, bytes));
        mWaitingBytes += bytes;
        return BodyVerdict.of(Outcome.WAITING, large);
    }

    /** Returns whether a body has room while there is no other. */
    public boolean canHold(long bytes) {
        return bytes <= MemoryShare.LARGE_BODY.limitBytes(mBudgetBytes);
    }

    /** Takes room at once, or returns false. */
    public boolean tryTake(MemoryShare share, long bytes) {
        if (bytes > free(share)) {
            return false;
        }
        mUsed.merge(share, bytes, Long::sum);
        return true;
    }

    /**
     * Returns room.
     *
     * @return tickets of the waiting bodies that are admitted now, in their order
     */
    public List<Long> release(MemoryShare share, long bytes, long now) {
        mUsed.merge(share, -bytes, Long::sum);
        if (share != MemoryShare.LARGE_BODY) {
            return List.of();
        }
        mRate.add(bytes, now);
        return admitWaiting();
    }

    /**
     * Ends the wait of a body.
     *
     * @return tickets of the bodies behind it that are admitted now, in their order
     */
    public List<Long> withdraw(long ticket) {
        Waiting withdrawn =
                mWaiting.stream().filter(one -> one.ticket == ticket).findFirst().orElse(null);
        if (withdrawn == null) {
            return List.of();
        }
        mWaiting.remove(withdrawn);
        mWaitingBytes -= withdrawn.bytes;
        return admitWaiting();
    }

    /** Returns when there is probably room for a body, with those that wait before it. */
    public long retryAfterMillis(long bytes, long now) {
        long missing = Math.max(0, mWaitingBytes + bytes - free(MemoryShare.LARGE_BODY));
        long millis =
                TimeUnit.NANOSECONDS.toMillis(mRate.nanosFor(missing, DEFAULT_WAIT_NANOS, now));
        return Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, millis));
    }

    /** Returns the bytes of a share that are taken. */
    public long usedBytes(MemoryShare share) {
        return mUsed.getOrDefault(share, 0L);
    }

    /** Returns whether more than half of a share is taken. */
    public boolean isTight(MemoryShare share) {
        return usedBytes(share) > share.limitBytes(mBudgetBytes) / 2;
    }

    /** Returns the number of bodies that wait. */
    public int waitingCount() {
        return mWaiting.size();
    }

    private List<Long> admitWaiting() {
        List<Long> admitted = new ArrayList<>();
        Waiting first = mWaiting.peekFirst();
        // In order, so that a large body is not passed by for ever.
        while (first != null && tryTake(MemoryShare.LARGE_BODY, first.bytes)) {
            mWaiting.removeFirst();
            mWaitingBytes -= first.bytes;
            admitted.add(first.ticket);
            first = mWaiting.peekFirst();
        }
        return admitted;
    }

    private long free(MemoryShare share) {
        return share.limitBytes(mBudgetBytes) - usedBytes(share);
    }

    private record Waiting(long ticket, long bytes) {}
}
