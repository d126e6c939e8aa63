package org.fuchsialever.decisions.audit;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fuchsialever.kernel.duty.ActionSink;

/** Index rows to be written, one per day, oldest first. */
final class DayIndex {
    private final Deque<Day> days = new ArrayDeque<>();
    private boolean writing;
    private long writingSince;

    /** Adds a stored batch to the index row of its day. */
    void stored(String day, AuditBatch batch, String hash) {
        Day current = days.peekLast();
        if (current == null || !current.name.equals(day)) {
            current = new Day(day, batch.sequence(), batch.previousHash());
            days.add(current);
        }
        current.checkpoint =
                Option.some(
                        new AuditCheckpoint(
                                current.first,
                                current.beforeFirst,
                                batch.sequence(),
                                hash,
                                batch.marker() == BatchMarker.END));
    }

    boolean isWritten() {
        return days.stream().allMatch(day -> day.checkpoint.equals(day.written));
    }

    void write(long nowNanos, ActionSink<AuditAction> actions) {
        if (writing && nowNanos - writingSince < AuditDuty.WRITE_TIMEOUT_NANOS) {
            return;
        }
        for (Day day : days) {
            if (!day.checkpoint.equals(day.written)) {
                writing = true;
                writingSince = nowNanos;
                day.sent = day.checkpoint;
                for (AuditCheckpoint checkpoint : day.checkpoint) {
                    actions.emit(new AuditAction.WriteIndex(day.name, day.version, checkpoint));
                }
                return;
            }
        }
    }

    void written(String name, long version) {
        writing = false;
        for (Day day : days) {
            if (day.name.equals(name)) {
                day.version = version;
                day.written = day.sent;
            }
        }
        while (days.size() > 1 && days.element().checkpoint.equals(days.element().written)) {
            days.remove();
        }
    }

    void conflicted(String name, long version) {
        writing = false;
        days.stream().filter(day -> day.name.equals(name)).forEach(day -> day.version = version);
    }

    void failed() {
        writing = false;
    }

    private static final class Day {
        private final String name;
        private final long first;
        private final String beforeFirst;
        private Option<AuditCheckpoint> checkpoint = Option.none();
        private Option<AuditCheckpoint> sent = Option.none();
        private Option<AuditCheckpoint> written = Option.none();
        private long version;

        Day(String name, long first, String beforeFirst) {
            this.name = name;
            this.first = first;
            this.beforeFirst = beforeFirst;
        }
    }
}
