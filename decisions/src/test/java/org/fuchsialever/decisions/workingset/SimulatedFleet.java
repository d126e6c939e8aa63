package org.fuchsialever.decisions.workingset;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Instances that share the slots of a store, stepped in virtual time. */
final class SimulatedFleet {
    static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long STEP_NANOS = 10 * MILLI;
    private static final long MEMBER_READ_NANOS = 700 * MILLI;
    private static final long OUTSIDE_READ_NANOS = 2_000 * MILLI;

    final List<SimulatedInstance> mInstances = new ArrayList<>();
    private final Map<Integer, MemberSlot> mRows = new HashMap<>();
    private final SplittableRandom mRandom;
    private long mNow;
    private long mVersion;
    private long mWrites;
    private double mLostAnswers;
    private boolean mStoreDown;

    SimulatedFleet(int size, long seed) {
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            mInstances.add(new SimulatedInstance("n" + i));
        }
    }

    void loseAnswers(double share) {
        mLostAnswers = share;
    }

    void setStoreDown(boolean down) {
        mStoreDown = down;
    }

    long writes() {
        return mWrites;
    }

    long members() {
        return mInstances.stream().filter(instance -> instance.mMember).count();
    }

    void run(long nanos) {
        long end = mNow + nanos;
        while (mNow < end) {
            mNow += STEP_NANOS;
            for (SimulatedInstance instance : mInstances) {
                instance.step();
            }
            checkOneHolderForEachSlot();
        }
    }

    /** Two instances that both believe to hold a slot would both renew it without a conflict. */
    private void checkOneHolderForEachSlot() {
        Map<String, Integer> slots = new HashMap<>();
        for (MemberSlot row : mRows.values()) {
            slots.merge(row.instance(), 1, Integer::sum);
        }
        long live = slots.values().stream().filter(count -> count > 2).count();
        if (live > 0) {
            throw new AssertionError("an instance holds many slots: " + slots);
        }
    }

    /** One instance with its duty. */
    final class SimulatedInstance {
        private final String mName;
        private WorkingSetDuty mDuty;
        private int mStarts;
        private long mNextRead;
        private long mReadVersion;
        private final List<WorkingSetEvent> mPending = new ArrayList<>();
        boolean mRunning = true;
        boolean mMember;

        SimulatedInstance(String name) {
            mName = name;
            mDuty = duty();
        }

        private WorkingSetDuty duty() {
            return new WorkingSetDuty(mName, "s" + mStarts, 1.5, mRandom.split());
        }

        void stop() {
            mRunning = false;
            mMember = false;
            mPending.clear();
        }

        void restart() {
            mStarts++;
            mDuty = duty();
            mReadVersion = 0;
            mNextRead = mNow;
            mMember = false;
            mPending.clear();
            mRunning = true;
        }

        /** Stops for a while without losing its state, as a paused process does. */
        void pause() {
            mRunning = false;
        }

        void resume() {
            mRunning = true;
        }

        private void step() {
            if (!mRunning) {
                return;
            }
            if (mNow >= mNextRead && !mStoreDown) {
                mNextRead = mNow + (mMember ? MEMBER_READ_NANOS : OUTSIDE_READ_NANOS);
                read();
            }
            List<WorkingSetEvent> events = List.copyOf(mPending);
            mPending.clear();
            events.forEach(event -> mDuty.onEvent(event, mNow, this::act));
            if (mDuty.nextTimerNanos() <= mNow) {
                mDuty.onTimer(mNow, this::act);
            }
        }

        private void read() {
            List<MemberSlot> changed =
                    mRows.values().stream().filter(row -> row.version() > mReadVersion).toList();
            mReadVersion = mVersion;
            mPending.add(new WorkingSetEvent.SlotsChanged(changed, List.of()));
            mPending.add(new WorkingSetEvent.SlotsCurrent());
        }

        private void act(WorkingSetAction action) {
            if (action instanceof WorkingSetAction.MembershipChanged changed) {
                mMember = changed.member();
            } else if (action instanceof WorkingSetAction.WriteSlot write) {
                write(write);
            }
        }

        private void write(WorkingSetAction.WriteSlot write) {
            mWrites++;
            MemberSlot current = mRows.get(write.slot());
            long version = current == null ? 0 : current.version();
            WorkingSetEvent result;
            if (mStoreDown) {
                result = new WorkingSetEvent.WriteFailed(write.slot());
            } else if (version != write.version()) {
                result = new WorkingSetEvent.Conflicted(write.slot(), Option.of(current));
            } else {
                mVersion++;
                MemberSlot row =
                        new MemberSlot(
                                write.slot(), mName, "s" + mStarts, write.leaving(), mVersion);
                mRows.put(write.slot(), row);
                result = new WorkingSetEvent.Written(write.slot(), mVersion);
            }
            boolean lost = mRandom.nextDouble() < mLostAnswers;
            mPending.add(lost ? new WorkingSetEvent.WriteFailed(write.slot()) : result);
        }
    }
}
