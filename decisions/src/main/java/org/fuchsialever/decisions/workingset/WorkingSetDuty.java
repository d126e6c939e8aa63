package org.fuchsialever.decisions.workingset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.jspecify.annotations.Nullable;

/**
 * Claims one of a fixed number of slots and renews it as the heartbeat of this instance. Each write
 * names the version of the row, so a slot has one holder; a holder that does not renew its slot
 * loses it to an instance without one.
 */
public final class WorkingSetDuty implements Duty<WorkingSetEvent, WorkingSetAction> {
    /** Number of slots; a fleet of up to this size consists of members alone. */
    public static final int SLOT_COUNT = 12;

    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** A slot that has not changed for this long has missed three heartbeats and is free. */
    private static final long SLOT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_800);

    /** Nothing was observed during a longer gap in reads, so holders get the full time again. */
    private static final long MAX_READ_GAP_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Spreads claims, so that instances rarely claim the same slot. */
    private static final long CLAIM_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Additional delay of an instance without any processor time of its own. */
    private static final long MAX_WEAKNESS_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** An instance with this many cores or more claims without additional delay. */
    private static final double FULL_CAPACITY_CORES = 1.0;

    private final String mInstance;
    private final String mStart;
    private final double mCores;
    private final RandomGenerator mRandom;
    private final Map<Integer, ObservedSlot> mSlots = new HashMap<>();
    private @Nullable Integer mOwn;
    private long mOwnVersion;
    private boolean mMember;
    private boolean mWriting;
    private boolean mDraining;
    private long mWriteSentAt;
    private long mNextHeartbeat = NO_TIMER;
    private long mClaimAt = NO_TIMER;
    private long mLastRead = Long.MIN_VALUE / 2;

    /**
     * Creates a duty that holds no slot.
     *
     * @param instance the name of this instance
     * @param start ID of this process
     * @param cores processor time of this instance, in cores; weaker instances claim later
     * @param random source of the jitter of claims
     */
    public WorkingSetDuty(String instance, String start, double cores, RandomGenerator random) {
        mInstance = instance;
        mStart = start;
        mCores = cores;
        mRandom = random;
    }

    @Override
    public String dutyName() {
        return "working-set";
    }

    @Override
    public void onEvent(
            WorkingSetEvent event, long nowNanos, ActionSink<WorkingSetAction> actions) {
        if (event instanceof WorkingSetEvent.SlotsChanged changed) {
            changed.removed().forEach(mSlots::remove);
            changed.slots().forEach(slot -> observe(slot, nowNanos, actions));
        } else if (event instanceof WorkingSetEvent.SlotsCurrent) {
            slotsCurrent(nowNanos);
        } else if (event instanceof WorkingSetEvent.Written written) {
            mWriting = false;
            hold(written.slot(), written.version(), nowNanos, actions);
        } else if (event instanceof WorkingSetEvent.Conflicted conflicted) {
            mWriting = false;
            conflicted(conflicted, nowNanos, actions);
        } else if (event instanceof WorkingSetEvent.WriteFailed) {
            mWriting = false;
            // If the write took effect, the next read or the conflict of the next write shows it.
            mNextHeartbeat = nowNanos + HEARTBEAT_INTERVAL_NANOS;
        } else if (event instanceof WorkingSetEvent.Draining) {
            mDraining = true;
            mNextHeartbeat = nowNanos;
        }
        act(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<WorkingSetAction> actions) {
        act(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        return mWriting ? NO_TIMER : mOwn == null ? mClaimAt : mNextHeartbeat;
    }

    private void observe(MemberSlot slot, long now, ActionSink<WorkingSetAction> actions) {
        ObservedSlot known = mSlots.get(slot.number());
        if (known != null && known.slot.version() >= slot.version()) {
            return;
        }
        mSlots.put(slot.number(), new ObservedSlot(slot, now));
        Integer own = mOwn;
        boolean mine = slot.instance().equals(mInstance) && slot.start().equals(mStart);
        if (own != null && own == slot.number() && !mine && slot.version() > mOwnVersion) {
            lose(actions);
        } else if (own == null && mine && !slot.leaving()) {
            hold(slot.number(), slot.version(), now, actions);
        }
    }

    private void slotsCurrent(long now) {
        if (now - mLastRead > MAX_READ_GAP_NANOS) {
            mSlots.replaceAll((number, seen) -> new ObservedSlot(seen.slot, now));
        }
        mLastRead = now;
        if (mOwn == null && !mDraining) {
            scheduleClaim(now);
        }
    }

    private void scheduleClaim(long now) {
        if (freeSlots(now).isEmpty()) {
            mClaimAt = NO_TIMER;
        } else if (mClaimAt == NO_TIMER) {
            double weakness = Math.max(0, 1 - mCores / FULL_CAPACITY_CORES);
            mClaimAt =
                    formerSlot() != null
                            ? now
                            : now
                                    + (long) (weakness * MAX_WEAKNESS_DELAY_NANOS)
                                    + mRandom.nextLong(CLAIM_JITTER_NANOS);
        }
    }

    /** Returns the slots that this instance may claim; first the one of its earlier process. */
    private List<Integer> freeSlots(long now) {
        Integer former = formerSlot();
        if (former != null) {
            return List.of(former);
        }
        List<Integer> free = new ArrayList<>();
        for (int number = 0; number < SLOT_COUNT; number++) {
            ObservedSlot seen = mSlots.get(number);
            if (seen == null
                    || seen.slot.leaving()
                    || now - seen.sinceNanos >= SLOT_TIMEOUT_NANOS) {
                free.add(number);
            }
        }
        return free;
    }

    private @Nullable Integer formerSlot() {
        for (ObservedSlot seen : mSlots.values()) {
            if (seen.slot.instance().equals(mInstance)) {
                return seen.slot.number();
            }
        }
        return null;
    }

    private void act(long now, ActionSink<WorkingSetAction> actions) {
        if (mWriting) {
            return;
        }
        Integer own = mOwn;
        if (own != null) {
            if (now >= mNextHeartbeat) {
                write(own, mOwnVersion, now, actions);
            }
        } else if (!mDraining && now >= mClaimAt) {
            mClaimAt = NO_TIMER;
            List<Integer> free = freeSlots(now);
            boolean isCurrent = now - mLastRead <= MAX_READ_GAP_NANOS;
            if (!free.isEmpty() && isCurrent) {
                int slot = free.get(mRandom.nextInt(free.size()));
                ObservedSlot seen = mSlots.get(slot);
                write(slot, seen == null ? 0 : seen.slot.version(), now, actions);
            }
        }
    }

    private void write(int slot, long version, long now, ActionSink<WorkingSetAction> actions) {
        mWriting = true;
        mWriteSentAt = now;
        actions.emit(new WorkingSetAction.WriteSlot(slot, version, mDraining));
    }

    private void hold(int slot, long version, long now, ActionSink<WorkingSetAction> actions) {
        mOwn = slot;
        mOwnVersion = version;
        mClaimAt = NO_TIMER;
        mNextHeartbeat = mWriteSentAt + HEARTBEAT_INTERVAL_NANOS;
        mSlots.put(
                slot,
                new ObservedSlot(new MemberSlot(slot, mInstance, mStart, mDraining, version), now));
        if (mDraining) {
            lose(actions);
        } else {
            setMember(true, actions);
        }
    }

    private void conflicted(
            WorkingSetEvent.Conflicted conflict, long now, ActionSink<WorkingSetAction> actions) {
        MemberSlot current = conflict.current().getOrNull();
        if (current == null) {
            mSlots.remove(conflict.slot());
            lose(actions);
        } else if (current.instance().equals(mInstance) && current.start().equals(mStart)) {
            // The response to an earlier write of this process was lost.
            hold(current.number(), current.version(), now, actions);
        } else {
            observe(current, now, actions);
            lose(actions);
        }
        if (mOwn == null && !mDraining) {
            scheduleClaim(now);
        }
    }

    private void lose(ActionSink<WorkingSetAction> actions) {
        mOwn = null;
        mOwnVersion = 0;
        mNextHeartbeat = NO_TIMER;
        setMember(false, actions);
    }

    private void setMember(boolean member, ActionSink<WorkingSetAction> actions) {
        if (mMember != member) {
            mMember = member;
            actions.emit(new WorkingSetAction.MembershipChanged(member));
        }
    }

    private record ObservedSlot(MemberSlot slot, long sinceNanos) {}
}
