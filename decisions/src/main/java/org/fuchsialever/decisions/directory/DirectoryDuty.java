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
 * Mirrors tables of the store. A table is read whole once and then followed by its changes; it is
 * read whole again when the store has lost its history. A row never goes back to an older version,
 * and a read that is older than one before is repeated.
 */
public final class DirectoryDuty implements Duty<DirectoryEvent, DirectoryAction> {
    private static final long FIRST_RETRY = TimeUnit.MILLISECONDS.toNanos(100);

    /** Bounds the time until a store that is back is noticed. */
    private static final long LAST_RETRY = TimeUnit.MILLISECONDS.toNanos(800);

    private static final int MOST_DOUBLINGS = 3;

    /** Far enough in the past, without an overflow when an interval is added. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final RandomGenerator random;
    private final Map<DirectoryTable, Mirror> mirrors = new EnumMap<>(DirectoryTable.class);
    private long newestVersion;

    /** Creates a duty that reads all tables at once. */
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
            readSoon(mirror, nowNanos, actions);
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
            mirror.changesReadAt = now;
        } else {
            mirror.wholeReadAt = now;
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
            failed(mirror, "the read is older than one before", now, actions);
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
        answered(mirror, changes, read.version(), now, actions);
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
            failed(mirror, "the changes are older than those before", now, actions);
            return;
        }
        answered(mirror, read.rows(), read.version(), now, actions);
    }

    private void answered(
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
        if (mirror.lost) {
            mirror.lost = false;
            actions.emit(new DirectoryAction.StoreReachable(mirror.table));
        }
        actions.emit(new DirectoryAction.UpToDate(mirror.table));
        readSoon(mirror, now, actions);
    }

    private void readSoon(Mirror mirror, long now, ActionSink<DirectoryAction> actions) {
        int instances = mirror(DirectoryTable.INSTANCES).versions.size();
        long last = mirror.following ? mirror.changesReadAt : mirror.wholeReadAt;
        long next = last + mirror.table.intervalNanos(instances);
        if (next <= now) {
            read(mirror, now, actions);
        } else {
            mirror.nextReadAt = next;
        }
    }

    private void failed(
            Mirror mirror, String reason, long now, ActionSink<DirectoryAction> actions) {
        if (!mirror.lost) {
            mirror.lost = true;
            actions.emit(new DirectoryAction.StoreUnreachable(mirror.table, reason));
        }
        long delay =
                Math.min(FIRST_RETRY << Math.min(mirror.failures++, MOST_DOUBLINGS), LAST_RETRY);
        mirror.nextReadAt = now + delay / 2 + random.nextLong(delay / 2);
    }

    private static final class Mirror {
        private final DirectoryTable table;
        private final Map<String, Long> versions = new HashMap<>();
        private boolean following;
        private boolean lost;
        private long version;
        private int failures;
        private long nextReadAt = Long.MIN_VALUE;
        private long changesReadAt = NEVER;
        private long wholeReadAt = NEVER;

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
