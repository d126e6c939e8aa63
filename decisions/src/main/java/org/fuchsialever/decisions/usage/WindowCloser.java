package org.fuchsialever.decisions.usage;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/**
 * Closes windows under the lease of their role, then reports them. Decisions are based on reads
 * that may be stale: the conditions of the closing commit prevent a stale decision from taking
 * effect, and a contribution that was missed becomes a correction in a later window.
 */
public final class WindowCloser implements Duty<WindowCloserEvent, WindowCloserAction> {
    /**
     * Number of roles. Windows that are closed at the same time belong to different roles, and the
     * number of role rows stays constant over time.
     */
    public static final int ROLE_COUNT = 4;

    /** How far back closed windows are read; a report must be accepted within this time. */
    public static final Duration CLOSED_WINDOW_LOOKBACK = Duration.ofDays(2);

    private static final long POLL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final UsageSettings mSettings;
    private final long mRequestTimeoutNanos;
    private final WindowReport.Encoder mEncoder;
    private final InvariantMonitor mInvariants;

    private final Map<String, HeldLease> mLeases = new TreeMap<>();
    private final TreeMap<WindowId, ClosedWindow> mClosed = new TreeMap<>();
    private final TreeMap<WindowId, String> mSent = new TreeMap<>();
    private final TreeSet<WindowId> mAccepted = new TreeSet<>();
    private final TreeSet<WindowId> mRefused = new TreeSet<>();
    private final Set<WindowId> mSending = new HashSet<>();
    private Option<WindowId> mClosing = Option.none();
    private boolean mReading;
    private long mNextPollNanos;

    /**
     * Creates the duty.
     *
     * @param settings lengths of windows
     * @param requestTimeout time after which the receiver drops an incomplete request
     * @param encoder encodes reports
     * @param invariants receives the result of checks
     * @param startNanos monotonic time in nanoseconds
     */
    public WindowCloser(
            UsageSettings settings,
            Duration requestTimeout,
            WindowReport.Encoder encoder,
            InvariantMonitor invariants,
            long startNanos) {
        mSettings = settings;
        mRequestTimeoutNanos = requestTimeout.toNanos();
        mEncoder = encoder;
        mInvariants = invariants;
        mNextPollNanos = startNanos + POLL_INTERVAL_NANOS;
    }

    /** Returns the name of a role. */
    public static String role(int number) {
        return "window/" + number;
    }

    @Override
    public String dutyName() {
        return "window-closer";
    }

    @Override
    public void onEvent(
            WindowCloserEvent event, long nowNanos, ActionSink<WindowCloserAction> actions) {
        if (event instanceof WindowCloserEvent.LeaseAcquired acquired) {
            mLeases.put(acquired.lease().role(), new HeldLease(acquired.lease(), nowNanos));
        } else if (event instanceof WindowCloserEvent.LeaseLost lost) {
            mLeases.remove(lost.role());
        } else if (event instanceof WindowCloserEvent.RowsRead rows) {
            mReading = false;
            onRows(rows, nowNanos, actions);
        } else if (event instanceof WindowCloserEvent.ReadFailed) {
            mReading = false;
        } else if (event instanceof WindowCloserEvent.WindowClosed result) {
            mClosing = Option.none();
            mClosed.put(result.window(), result.closed());
            report(result.window(), nowNanos, actions);
            poll(actions);
        } else if (event instanceof WindowCloserEvent.CloseFailed) {
            mClosing = Option.none();
        } else {
            onReportAnswered(event, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<WindowCloserAction> actions) {
        mNextPollNanos = nowNanos + POLL_INTERVAL_NANOS;
        poll(actions);
    }

    @Override
    public long nextTimerNanos() {
        return mNextPollNanos;
    }

    private void poll(ActionSink<WindowCloserAction> actions) {
        if (!mReading && !mLeases.isEmpty()) {
            mReading = true;
            actions.emit(new WindowCloserAction.ReadRows());
        }
    }

    private void onRows(
            WindowCloserEvent.RowsRead rows,
            long nowNanos,
            ActionSink<WindowCloserAction> actions) {
        dropBefore(new WindowId(rows.wallMillis() - CLOSED_WINDOW_LOOKBACK.toMillis()));
        mClosed.putAll(rows.closed());
        for (WindowId window : mClosed.keySet()) {
            if (!rows.reported().contains(window)) {
                report(window, nowNanos, actions);
            }
        }
        if (mClosing.isEmpty()) {
            closeNext(rows, actions);
        }
        if (mLeases.containsKey(role(0))) {
            deleteOldRows(rows, actions);
        }
    }

    /** Deletes rows whose windows all stopped accepting contributions; no closer needs them. */
    private void deleteOldRows(
            WindowCloserEvent.RowsRead rows, ActionSink<WindowCloserAction> actions) {
        WindowId oldest = mSettings.oldestOpen(rows.wallMillis());
        rows.contributions()
                .forEach(
                        (start, totals) -> {
                            if (totals.windows().tailSet(oldest).isEmpty()) {
                                actions.emit(new WindowCloserAction.DeleteTotals(start));
                            }
                        });
    }

    private void report(WindowId window, long nowNanos, ActionSink<WindowCloserAction> actions) {
        HeldLease held = mLeases.get(roleOf(window));
        ClosedWindow closedWindow = mClosed.get(window);
        if (held == null || closedWindow == null || mRefused.contains(window)) {
            return;
        }
        if (mAccepted.contains(window)) {
            actions.emit(new WindowCloserAction.MarkReported(window));
            return;
        }
        // A report of a previous holder may be in transit until the receiver drops its connection.
        boolean own = closedWindow.fencing() == held.lease.fencing();
        if ((own || nowNanos - held.acquiredNanos >= mRequestTimeoutNanos)
                && mSending.add(window)) {
            String earlier = mSent.getOrDefault(window, closedWindow.report());
            mInvariants.check(
                    Invariant.USAGE_WINDOW_FIXED,
                    earlier.equals(closedWindow.report()),
                    () -> "window " + window.label() + " was reported with other figures");
            if (earlier.equals(closedWindow.report())) {
                mSent.put(window, earlier);
                actions.emit(new WindowCloserAction.SendReport(window, held.lease, earlier));
            }
        }
    }

    private void closeNext(
            WindowCloserEvent.RowsRead rows, ActionSink<WindowCloserAction> actions) {
        TreeSet<WindowId> candidates = candidates(rows);
        for (WindowId window : candidates) {
            HeldLease held = mLeases.get(roleOf(window));
            if (held == null) {
                continue;
            }
            Map<WindowId, IncludedTotals> included = new TreeMap<>();
            SortedMap<UsageKey, UsageCounts> totals = new TreeMap<>();
            included.put(
                    window, IncludedTotals.empty().merge(window, rows.contributions(), totals));
            WindowReport report = new WindowReport(window, totals, corrections(rows, included));
            if (!report.isEmpty()) {
                mClosing = Option.some(window);
                ClosedWindow closedWindow =
                        new ClosedWindow(held.lease.fencing(), mEncoder.encode(report));
                actions.emit(
                        new WindowCloserAction.CloseWindow(
                                window, held.lease, closedWindow, included));
                return;
            }
        }
    }

    /** Returns the ended windows with contributions, and the newest one, for corrections. */
    private TreeSet<WindowId> candidates(WindowCloserEvent.RowsRead rows) {
        TreeSet<WindowId> windows = new TreeSet<>();
        rows.contributions().values().forEach(totals -> windows.addAll(totals.windows()));
        long lastEnd = rows.wallMillis() - mSettings.closeDelayMillis();
        WindowId newest =
                new WindowId(
                        WindowId.at(lastEnd, mSettings.windowMillis()).startMillis()
                                - mSettings.windowMillis());
        windows.add(newest);
        windows.removeIf(window -> window.compareTo(newest) > 0);
        windows.removeIf(window -> window.compareTo(mSettings.oldestOpen(rows.wallMillis())) < 0);
        windows.removeAll(mClosed.keySet());
        return windows;
    }

    /**
     * Returns the counts that arrived after their window was closed.
     *
     * @param raised receives the included totals of these windows with the corrections
     */
    private SortedMap<WindowId, SortedMap<UsageKey, UsageCounts>> corrections(
            WindowCloserEvent.RowsRead rows, Map<WindowId, IncludedTotals> raised) {
        SortedMap<WindowId, SortedMap<UsageKey, UsageCounts>> corrections = new TreeMap<>();
        WindowId oldest = mSettings.oldestOpen(rows.wallMillis());
        rows.included()
                .forEach(
                        (window, known) -> {
                            SortedMap<UsageKey, UsageCounts> excess = new TreeMap<>();
                            IncludedTotals newer =
                                    known.merge(window, rows.contributions(), excess);
                            if (!excess.isEmpty() && window.compareTo(oldest) >= 0) {
                                corrections.put(window, excess);
                                raised.put(window, newer);
                            }
                        });
        return corrections;
    }

    private void onReportAnswered(WindowCloserEvent event, ActionSink<WindowCloserAction> actions) {
        if (event instanceof WindowCloserEvent.ReportAccepted result) {
            mSending.remove(result.window());
            mAccepted.add(result.window());
            actions.emit(new WindowCloserAction.MarkReported(result.window()));
        } else if (event instanceof WindowCloserEvent.ReportRefused result) {
            mSending.remove(result.window());
            mRefused.add(result.window());
            mInvariants.reportViolation(
                    Invariant.USAGE_WINDOW_FIXED,
                    "the receiver has other figures for " + result.window().label());
        } else if (event instanceof WindowCloserEvent.ReportFailed result) {
            mSending.remove(result.window());
        }
    }

    private void dropBefore(WindowId oldest) {
        mClosed.headMap(oldest).clear();
        mSent.headMap(oldest).clear();
        mAccepted.headSet(oldest).clear();
        mRefused.headSet(oldest).clear();
    }

    private String roleOf(WindowId window) {
        return role(
                (int) Math.floorMod(window.startMillis() / mSettings.windowMillis(), ROLE_COUNT));
    }

    private record HeldLease(WindowLease lease, long acquiredNanos) {}
}
