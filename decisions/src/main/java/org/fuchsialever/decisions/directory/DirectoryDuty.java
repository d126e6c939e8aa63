package org.fuchsialever.decisions.directory;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Mirrors tables of the store. A table is read in full once and then followed through its change
 * feed; it is read in full again when the store has discarded the changes. A row never reverts to
 * an older version, and a read that is staler than an earlier one is repeated.
 */
public final class DirectoryDuty implements Duty<DirectoryEvent, DirectoryAction> {
    private static final long MIN_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Bounds the time until the recovery of the store is noticed. */
    private static final long MAX_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private static final int MAX_DOUBLINGS = 3;

    /** Far in the past; adding an interval to it does not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final RandomGenerator random;
    private final Map<DirectoryTable, Mirror> mirrors = new EnumMap<>(DirectoryTable.class);
    private long newestVersion;

    /** Creates a duty that starts to read all tables on its first timer. */
    public DirectoryDuty(RandomGenerator random) {
        this.random = random;
        for (DirectoryTable table : DirectoryTable.values()) {
            mirrors.put(table, new Mirror(table));
        }
    }

    @Override
    public String dutyName() {
        return "directory";
    }

    @Override
    public void onEvent(DirectoryEvent event, long nowNanos, ActionSink<DirectoryAction> actions) {
        Mirror mirror = mirror(event.table());
        if (event instanceof DirectoryEvent.TableRead read) {
            rangeRead(mirror, read, nowNanos, actions);
        } else if (event instanceof DirectoryEvent.FeedRead read) {
            feedRead(mirror, read, nowNanos, actions);
        } else if (event instanceof DirectoryEvent.HistoryLost) {
            mirror.following = false;
            scheduleRead(mirror, nowNanos, actions);
        } else if (event instanceof DirectoryEvent.ReadFailed failed) {
            failed(mirror, failed.reason(), nowNanos, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<DirectoryAction> actions) {
        for (Mirror mirror : mirrors.values()) {
            if (mirror.nextReadAt <= nowNanos) {
                read(mirror, nowNanos, actions);
            }
        }
    }

    @Override
    public long nextTimerNanos() {
        long next = NO_TIMER;
        for (Mirror mirror : mirrors.values()) {
            next = Math.min(next, mirror.nextReadAt);
        }
        return next;
    }

    private Mirror mirror(DirectoryTable table) {
        Mirror mirror = mirrors.get(table);
        if (mirror == null) {
            throw new IllegalStateException("table " + table + " is not mirrored");
        }
        return mirror;
    }

    private static void read(Mirror mirror, long now, ActionSink<DirectoryAction> actions) {
        mirror.nextReadAt = NO_TIMER;
        if (mirror.following) {
            mirror.feedReadAt = now;
        } else {
            mirror.fullReadAt = now;
        }
        actions.emit(
                mirror.following
                        ? new DirectoryAction.ReadFeed(mirror.table, mirror.version)
                        : new DirectoryAction.ReadTable(mirror.table));
    }

    private void rangeRead(
            Mirror mirror,
            DirectoryEvent.TableRead read,
            long now,
            ActionSink<DirectoryAction> actions) {
        if (read.version() < newestVersion) {
            String reason = "stale read: version " + read.version() + " after " + newestVersion;
            failed(mirror, reason, now, actions);
            return;
        }
        List<MirrorRow> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (MirrorRow row : read.rows()) {
            present.add(row.key());
            changes.add(row);
        }
        for (String key : mirror.versions.keySet()) {
            if (!present.contains(key)) {
                changes.add(new MirrorRow(key, new byte[0], read.version(), true));
            }
        }
        mirror.following = true;
        readSucceeded(mirror, changes, read.version(), now, actions);
    }

    private void feedRead(
            Mirror mirror,
            DirectoryEvent.FeedRead read,
            long now,
            ActionSink<DirectoryAction> actions) {
        if (!mirror.following) {
            return;
        }
        if (read.version() < mirror.version) {
            String reason =
                    "stale change feed: version " + read.version() + " after " + mirror.version;
            failed(mirror, reason, now, actions);
            return;
        }
        readSucceeded(mirror, read.rows(), read.version(), now, actions);
    }

    private void readSucceeded(
            Mirror mirror,
            List<MirrorRow> rows,
            long version,
            long now,
            ActionSink<DirectoryAction> actions) {
        newestVersion = Math.max(newestVersion, version);
        mirror.version = version;
        mirror.failures = 0;
        List<MirrorRow> newer = rows.stream().filter(mirror::accept).toList();
        if (!newer.isEmpty()) {
            actions.emit(new DirectoryAction.Changed(mirror.table, newer));
        }
        if (mirror.unreachable) {
            mirror.unreachable = false;
            actions.emit(new DirectoryAction.StoreReachable(mirror.table));
        }
        actions.emit(new DirectoryAction.UpToDate(mirror.table));
        scheduleRead(mirror, now, actions);
    }

    private void scheduleRead(Mirror mirror, long now, ActionSink<DirectoryAction> actions) {
        int instances = mirror(DirectoryTable.INSTANCES).versions.size();
        long last = mirror.following ? mirror.feedReadAt : mirror.fullReadAt;
        long next = last + mirror.table.intervalNanos(instances);
        if (next <= now) {
            read(mirror, now, actions);
        } else {
            mirror.nextReadAt = next;
        }
    }

    private void failed(
            Mirror mirror, String reason, long now, ActionSink<DirectoryAction> actions) {
        if (!mirror.unreachable) {
            mirror.unreachable = true;
            actions.emit(new DirectoryAction.StoreUnreachable(mirror.table, reason));
        }
        long delay =
                Math.min(
                        MIN_RETRY_DELAY_NANOS << Math.min(mirror.failures++, MAX_DOUBLINGS),
                        MAX_RETRY_DELAY_NANOS);
        mirror.nextReadAt = now + delay / 2 + random.nextLong(delay / 2);
    }

    private static final class Mirror {
        private final DirectoryTable table;
        private final Map<String, Long> versions = new HashMap<>();
        private boolean following;
        private boolean unreachable;
        private long version;
        private int failures;
        private long nextReadAt = Long.MIN_VALUE;
        private long feedReadAt = NEVER;
        private long fullReadAt = NEVER;

        Mirror(DirectoryTable table) {
            this.table = table;
        }

        boolean accept(MirrorRow row) {
            if (row.version() <= versions.getOrDefault(row.key(), 0L)) {
                return false;
            }
            if (row.removed()) {
                return versions.remove(row.key()) != null;
            }
            versions.put(row.key(), row.version());
            return true;
        }
    }
}
