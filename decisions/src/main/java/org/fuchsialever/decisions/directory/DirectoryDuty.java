package org.fuchsialever.decisions.directory;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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

    private final RandomGenerator mRandom;
    private final Map<DirectoryTable, Mirror> mMirrors = new EnumMap<>(DirectoryTable.class);
    private long mNewestVersion;
    private boolean mMember;

    /** Creates a duty that starts to read all tables on its first timer. */
    public DirectoryDuty(RandomGenerator random) {
        mRandom = random;
        for (DirectoryTable table : DirectoryTable.values()) {
            mMirrors.put(table, new Mirror(table));
        }
    }

    @Override
    public String dutyName() {
        return "directory";
    }

    @Override
    public void onEvent(DirectoryEvent event, long nowNanos, ActionSink<DirectoryAction> actions) {
        if (event instanceof DirectoryEvent.MembershipChanged changed) {
            mMember = changed.member();
        } else if (event instanceof DirectoryEvent.ReadEnded ended) {
            readEnded(ended, nowNanos, actions);
        }
    }

    private void readEnded(
            DirectoryEvent.ReadEnded event, long nowNanos, ActionSink<DirectoryAction> actions) {
        Mirror mirror = mirror(event.table());
        if (event instanceof DirectoryEvent.TableRead read) {
            rangeRead(mirror, read, nowNanos, actions);
        } else if (event instanceof DirectoryEvent.FeedRead read) {
            feedRead(mirror, read, nowNanos, actions);
        } else if (event instanceof DirectoryEvent.HistoryLost) {
            mirror.mFollowing = false;
            scheduleRead(mirror, nowNanos, actions);
        } else if (event instanceof DirectoryEvent.ReadFailed failed) {
            failed(mirror, failed.reason(), nowNanos, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<DirectoryAction> actions) {
        for (Mirror mirror : mMirrors.values()) {
            if (mirror.mNextReadAt <= nowNanos) {
                read(mirror, nowNanos, actions);
            }
        }
    }

    @Override
    public long nextTimerNanos() {
        long next = NO_TIMER;
        for (Mirror mirror : mMirrors.values()) {
            next = Math.min(next, mirror.mNextReadAt);
        }
        return next;
    }

    private Mirror mirror(DirectoryTable table) {
        Mirror mirror = mMirrors.get(table);
        if (mirror == null) {
            throw new IllegalStateException("table " + table + " is not mirrored");
        }
        return mirror;
    }

    private static void read(Mirror mirror, long now, ActionSink<DirectoryAction> actions) {
        mirror.mNextReadAt = NO_TIMER;
        if (mirror.mFollowing) {
            mirror.mFeedReadAt = now;
        } else {
            mirror.mFullReadAt = now;
        }
        actions.emit(
                mirror.mFollowing
                        ? new DirectoryAction.ReadFeed(mirror.mTable, mirror.mVersion)
                        : new DirectoryAction.ReadTable(mirror.mTable));
    }

    private void rangeRead(
            Mirror mirror,
            DirectoryEvent.TableRead read,
            long now,
            ActionSink<DirectoryAction> actions) {
        if (read.version() < mNewestVersion) {
            String reason = "stale read: version " + read.version() + " after " + mNewestVersion;
            failed(mirror, reason, now, actions);
            return;
        }
        List<MirrorRow> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (MirrorRow row : read.rows()) {
            present.add(row.key());
            changes.add(row);
        }
        for (String key : mirror.mVersions.keySet()) {
            if (!present.contains(key)) {
                changes.add(new MirrorRow(key, new byte[0], read.version(), true));
            }
        }
        mirror.mFollowing = true;
        readSucceeded(mirror, mirror.mFullReadAt, changes, read.version(), now, actions);
    }

    private void feedRead(
            Mirror mirror,
            DirectoryEvent.FeedRead read,
            long now,
            ActionSink<DirectoryAction> actions) {
        if (!mirror.mFollowing) {
            return;
        }
        if (read.version() < mirror.mVersion) {
            String reason =
                    "stale change feed: version " + read.version() + " after " + mirror.mVersion;
            failed(mirror, reason, now, actions);
            return;
        }
        readSucceeded(mirror, mirror.mFeedReadAt, read.rows(), read.version(), now, actions);
    }

    private void readSucceeded(
            Mirror mirror,
            long sentAt,
            List<MirrorRow> rows,
            long version,
            long now,
            ActionSink<DirectoryAction> actions) {
        mNewestVersion = Math.max(mNewestVersion, version);
        mirror.mVersion = version;
        mirror.mFailures = 0;
        List<MirrorRow> newer = mirror.acceptAll(rows);
        if (!newer.isEmpty()) {
            actions.emit(new DirectoryAction.Changed(mirror.mTable, newer));
        }
        if (mirror.mUnreachable) {
            mirror.mUnreachable = false;
            actions.emit(new DirectoryAction.StoreReachable(mirror.mTable));
        }
        actions.emit(new DirectoryAction.UpToDate(mirror.mTable, sentAt));
        scheduleRead(mirror, now, actions);
    }

    private void scheduleRead(Mirror mirror, long now, ActionSink<DirectoryAction> actions) {
        long last = mirror.mFollowing ? mirror.mFeedReadAt : mirror.mFullReadAt;
        long next = last + mirror.mTable.intervalNanos(mMember);
        if (next <= now) {
            read(mirror, now, actions);
        } else {
            mirror.mNextReadAt = next;
        }
    }

    private void failed(
            Mirror mirror, String reason, long now, ActionSink<DirectoryAction> actions) {
        if (!mirror.mUnreachable) {
            mirror.mUnreachable = true;
            actions.emit(new DirectoryAction.StoreUnreachable(mirror.mTable, reason));
        }
        long delay =
                Math.min(
                        MIN_RETRY_DELAY_NANOS << Math.min(mirror.mFailures++, MAX_DOUBLINGS),
                        MAX_RETRY_DELAY_NANOS);
        mirror.mNextReadAt = now + delay / 2 + mRandom.nextLong(delay / 2);
    }

    private static final class Mirror {
        private final DirectoryTable mTable;
        private final Map<String, Long> mVersions = new HashMap<>();
        private boolean mFollowing;
        private boolean mUnreachable;
        private long mVersion;
        private int mFailures;
        private long mNextReadAt = Long.MIN_VALUE;
        private long mFeedReadAt = NEVER;
        private long mFullReadAt = NEVER;

        Mirror(DirectoryTable table) {
            mTable = table;
        }

        /** Returns the last newer change of each row, so that their order does not matter. */
        List<MirrorRow> acceptAll(List<MirrorRow> rows) {
            Map<String, MirrorRow> last = new LinkedHashMap<>();
            for (MirrorRow row : rows) {
                if (accept(row)) {
                    last.put(row.key(), row);
                }
            }
            return List.copyOf(last.values());
        }

        private boolean accept(MirrorRow row) {
            if (row.version() <= mVersions.getOrDefault(row.key(), 0L)) {
                return false;
            }
            if (row.removed()) {
                return mVersions.remove(row.key()) != null;
            }
            mVersions.put(row.key(), row.version());
            return true;
        }
    }
}
