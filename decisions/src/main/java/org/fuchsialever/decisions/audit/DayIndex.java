package org.fuchsialever.decisions.audit;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fuchsialever.kernel.duty.ActionSink;

/** Index rows to be written, one per day, oldest first. */
final class DayIndex {
    private final Deque<Day> mDays = new ArrayDeque<>();
    private boolean mWriting;
    private long mWritingSince;

    /** Adds a stored batch to the index row of its day. */
    void stored(String day, AuditBatch batch, String hash) {
        Day current = mDays.peekLast();
        if (current == null || !current.mName.equals(day)) {
            current = new Day(day, batch.sequence(), batch.previousHash());
            mDays.add(current);
        }
        current.mCheckpoint =
                Option.some(
                        new AuditCheckpoint(
                                current.mFirst,
                                current.mBeforeFirst,
                                batch.sequence(),
                                hash,
                                batch.marker() == BatchMarker.END));
    }

    boolean isWritten() {
        return mDays.stream().allMatch(day -> day.mCheckpoint.equals(day.mWritten));
    }

    void write(long nowNanos, ActionSink<AuditAction> actions) {
        if (mWriting && nowNanos - mWritingSince < AuditDuty.WRITE_TIMEOUT_NANOS) {
            return;
        }
        for (Day day : mDays) {
            if (!day.mCheckpoint.equals(day.mWritten)) {
                mWriting = true;
                mWritingSince = nowNanos;
                day.mSent = day.mCheckpoint;
                for (AuditCheckpoint checkpoint : day.mCheckpoint) {
                    actions.emit(new AuditAction.WriteIndex(day.mName, day.mVersion, checkpoint));
                }
                return;
            }
        }
    }

    void written(String name, long version) {
        mWriting = false;
        for (Day day : mDays) {
            if (day.mName.equals(name)) {
                day.mVersion = version;
                day.mWritten = day.mSent;
            }
        }
        while (mDays.size() > 1 && mDays.element().mCheckpoint.equals(mDays.element().mWritten)) {
            mDays.remove();
        }
    }

    void conflicted(String name, long version) {
        mWriting = false;
        mDays.stream().filter(day -> day.mName.equals(name)).forEach(day -> day.mVersion = version);
    }

    void failed() {
        mWriting = false;
    }

    private static final class Day {
        private final String mName;
        private final long mFirst;
        private final String mBeforeFirst;
        private Option<AuditCheckpoint> mCheckpoint = Option.none();
        private Option<AuditCheckpoint> mSent = Option.none();
        private Option<AuditCheckpoint> mWritten = Option.none();
        private long mVersion;

        Day(String name, long first, String beforeFirst) {
            mName = name;
            mFirst = first;
            mBeforeFirst = beforeFirst;
        }
    }
}
