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
 * Fixes the figures of windows under the lease of their role, then reports them. All decisions are
 * taken from rows that may be stale: the conditions of the fixing commit make a stale decision have
 * no effect, and a contribution that was not seen becomes a correction in a later window.
 */
public final class WindowCloser implements Duty<WindowCloserEvent, WindowCloserAction> {
    /**
     * Number of roles. Windows that are closed at the same time have different roles, and the
     * number of role rows does not grow with time.
     */
    public static final int ROLE_COUNT = 4;

    /** How far back fixed windows are read; a report must be accepted within this time. */
    public static final Duration CLOSED_WINDOW_LOOKBACK = Duration.ofDays(2);

    private static final long POLL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final UsageSettings settings;
    private final long requestTimeoutNanos;
    private final WindowReport.Encoder encoder;
    private final InvariantMonitor invariants;

    private final Map<String, Held> leases = new TreeMap<>();
    private final TreeMap<WindowId, ClosedWindow> fixed = new TreeMap<>();
    private final TreeMap<WindowId, String> sent = new TreeMap<>();
    private final TreeSet<WindowId> accepted = new TreeSet<>();
    private final TreeSet<WindowId> refused = new TreeSet<>();
    private final Set<WindowId> sending = new HashSet<>();
    private Option<WindowId> fixing = Option.none();
    private boolean reading;
    private long nextPollNanos;

    /**
     * Creates the duty.
     *
     * @param settings lengths of windows
     * @param requestTimeout time after which the receiver drops an incomplete request
     * @param encoder gives the text of a report
     * @param invariants receives the result of checks
     * @param startNanos monotonic time in nanoseconds
     */
    public WindowCloser(
            UsageSettings settings,
            Duration requestTimeout,
            WindowReport.Encoder encoder,
            InvariantMonitor invariants,
            long startNanos) {
        this.settings = settings;
        this.requestTimeoutNanos = requestTimeout.toNanos();
        this.encoder = encoder;
        this.invariants = invariants;
        this.nextPollNanos = startNanos + POLL_NANOS;
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
        if (event instanceof WindowCloserEvent.LeaseAcquired gained) {
            leases.put(gained.lease().role(), new Held(gained.lease(), nowNanos));
        } else if (event instanceof WindowCloserEvent.LeaseLost lost) {
            leases.remove(lost.role());
        } else if (event instanceof WindowCloserEvent.RowsRead rows) {
            reading = false;
            onRows(rows, nowNanos, actions);
        } else if (event instanceof WindowCloserEvent.ReadFailed) {
            reading = false;
        } else if (event instanceof WindowCloserEvent.WindowClosed result) {
            fixing = Option.none();
            fixed.put(result.window(), result.closed());
            report(result.window(), nowNanos, actions);
            poll(actions);
        } else if (event instanceof WindowCloserEvent.CloseFailed) {
            fixing = Option.none();
        } else {
            onReportAnswered(event, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<WindowCloserAction> actions) {
        nextPollNanos = nowNanos + POLL_NANOS;
        poll(actions);
    }

    @Override
    public long nextTimerNanos() {
        return nextPollNanos;
    }

    private void poll(ActionSink<WindowCloserAction> actions) {
        if (!reading && !leases.isEmpty()) {
            reading = true;
            actions.emit(new WindowCloserAction.ReadRows());
        }
    }

    private void onRows(
            WindowCloserEvent.RowsRead rows,
            long nowNanos,
            ActionSink<WindowCloserAction> actions) {
        forgetBefore(new WindowId(rows.wallMillis() - CLOSED_WINDOW_LOOKBACK.toMillis()));
        fixed.putAll(rows.closed());
        for (WindowId window : fixed.keySet()) {
            if (!rows.reported().contains(window)) {
                report(window, nowNanos, actions);
            }
        }
        if (fixing.isEmpty()) {
            fixNext(rows, actions);
        }
        if (leases.containsKey(role(0))) {
            deleteOldRows(rows, actions);
        }
    }

    /** Windows that take no contributions any more are looked at by no closer. */
    private void deleteOldRows(
            WindowCloserEvent.RowsRead rows, ActionSink<WindowCloserAction> actions) {
        WindowId oldest = settings.oldestOpen(rows.wallMillis());
        rows.contributions()
                .forEach(
                        (start, totals) -> {
                            if (totals.windows().tailSet(oldest).isEmpty()) {
                                actions.emit(new WindowCloserAction.DeleteTotals(start));
                            }
                        });
    }

    private void report(WindowId window, long nowNanos, ActionSink<WindowCloserAction> actions) {
        Held held = leases.get(roleOf(window));
        ClosedWindow figures = fixed.get(window);
        if (held == null || figures == null || refused.contains(window)) {
            return;
        }
        if (accepted.contains(window)) {
            actions.emit(new WindowCloserAction.MarkReported(window));
            return;
        }
        // A report of an earlier holder may be in transit until its connection is dropped.
        boolean own = figures.fencing() == held.lease.fencing();
        if ((own || nowNanos - held.sinceNanos >= requestTimeoutNanos) && sending.add(window)) {
            String earlier = sent.getOrDefault(window, figures.report());
            invariants.check(
                    Invariant.USAGE_WINDOW_FIXED,
                    earlier.equals(figures.report()),
                    () -> "window " + window.label() + " was reported with other figures");
            if (earlier.equals(figures.report())) {
                sent.put(window, earlier);
                actions.emit(new WindowCloserAction.SendReport(window, held.lease, earlier));
            }
        }
    }

    private void fixNext(WindowCloserEvent.RowsRead rows, ActionSink<WindowCloserAction> actions) {
        TreeSet<WindowId> candidates = candidates(rows);
        for (WindowId window : candidates) {
            Held held = leases.get(roleOf(window));
            if (held == null) {
                continue;
            }
            Map<WindowId, IncludedTotals> included = new TreeMap<>();
            SortedMap<UsageKey, UsageCounts> totals = new TreeMap<>();
            included.put(window, IncludedTotals.none().raise(window, rows.contributions(), totals));
            WindowReport report = new WindowReport(window, totals, corrections(rows, included));
            if (!report.isEmpty()) {
                fixing = Option.some(window);
                ClosedWindow figures =
                        new ClosedWindow(held.lease.fencing(), encoder.encode(report));
                actions.emit(
                        new WindowCloserAction.CloseWindow(window, held.lease, figures, included));
                return;
            }
        }
    }

    /** Returns the ended windows with contributions, and the newest one for corrections. */
    private TreeSet<WindowId> candidates(WindowCloserEvent.RowsRead rows) {
        TreeSet<WindowId> windows = new TreeSet<>();
        rows.contributions().values().forEach(totals -> windows.addAll(totals.windows()));
        long lastEnd = rows.wallMillis() - settings.closeDelayMillis();
        WindowId newest =
                new WindowId(
                        WindowId.at(lastEnd, settings.windowMillis()).startMillis()
                                - settings.windowMillis());
        windows.add(newest);
        windows.removeIf(window -> window.compareTo(newest) > 0);
        windows.removeIf(window -> window.compareTo(settings.oldestOpen(rows.wallMillis())) < 0);
        windows.removeAll(fixed.keySet());
        return windows;
    }

    /** Returns what came too late for fixed windows, and raises what is included of them. */
    private SortedMap<WindowId, SortedMap<UsageKey, UsageCounts>> corrections(
            WindowCloserEvent.RowsRead rows, Map<WindowId, IncludedTotals> raised) {
        SortedMap<WindowId, SortedMap<UsageKey, UsageCounts>> corrections = new TreeMap<>();
        WindowId oldest = settings.oldestOpen(rows.wallMillis());
        rows.included()
                .forEach(
                        (window, known) -> {
                            SortedMap<UsageKey, UsageCounts> excess = new TreeMap<>();
                            IncludedTotals newer =
                                    known.raise(window, rows.contributions(), excess);
                            if (!excess.isEmpty() && window.compareTo(oldest) >= 0) {
                                corrections.put(window, excess);
                                raised.put(window, newer);
                            }
                        });
        return corrections;
    }

    private void onReportAnswered(WindowCloserEvent event, ActionSink<WindowCloserAction> actions) {
        if (event instanceof WindowCloserEvent.ReportAccepted answer) {
            sending.remove(answer.window());
            accepted.add(answer.window());
            actions.emit(new WindowCloserAction.MarkReported(answer.window()));
        } else if (event instanceof WindowCloserEvent.ReportRefused answer) {
            sending.remove(answer.window());
            refused.add(answer.window());
            invariants.reportViolation(
                    Invariant.USAGE_WINDOW_FIXED,
                    "the receiver has other figures for " + answer.window().label());
        } else if (event instanceof WindowCloserEvent.ReportFailed answer) {
            sending.remove(answer.window());
        }
    }

    private void forgetBefore(WindowId oldest) {
        fixed.headMap(oldest).clear();
        sent.headMap(oldest).clear();
        accepted.headSet(oldest).clear();
        refused.headSet(oldest).clear();
    }

    private String roleOf(WindowId window) {
        return role(
                (int) Math.floorMod(window.startMillis() / settings.windowMillis(), ROLE_COUNT));
    }

    private record Held(WindowLease lease, long sinceNanos) {}
}
