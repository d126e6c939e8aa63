package org.fuchsialever.node.usage;

import io.vavr.control.Try;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.usage.ClosedWindow;
import org.fuchsialever.decisions.usage.IncludedTotals;
import org.fuchsialever.decisions.usage.StartId;
import org.fuchsialever.decisions.usage.UsageClass;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.UsageKey;
import org.fuchsialever.decisions.usage.UsageTotals;
import org.fuchsialever.decisions.usage.WindowId;
import org.fuchsialever.services.Row;

/** Text form of the rows of table {@code usage}. */
public final class UsageRows {
    /** Name of the table. */
    public static final String TABLE = "usage";

    /** Keys of fixed windows: prefix and label. The value is a line and the exact report. */
    public static final String WINDOW_PREFIX = "window/";

    /** Keys of accepted reports: prefix and label. */
    public static final String REPORTED_PREFIX = "reported/";

    static final String TOTALS_PREFIX = "totals/";
    static final String INCLUDED_PREFIX = "included/";

    private static final int FIGURES = 6;

    private UsageRows() {}

    static String totalsKey(StartId start) {
        return TOTALS_PREFIX + start.label();
    }

    /** Returns the start of a row of totals; fails for another form of key. */
    static StartId start(Row row) {
        String[] parts = row.key().split("/");
        return new StartId(new InstanceId(parts[1]), parts[2]);
    }

    /** Returns the window that a key with a prefix names; fails for another form of key. */
    static WindowId window(Row row) {
        return WindowId.parse(row.key().substring(row.key().indexOf('/') + 1));
    }

    static String encode(UsageTotals totals) {
        StringBuilder text = new StringBuilder();
        for (WindowId window : totals.windows()) {
            append(text, window.label(), totals.of(window));
        }
        return text.toString();
    }

    static Try<UsageTotals> decodeTotals(String text) {
        return Try.of(
                () -> {
                    UsageTotals totals = new UsageTotals();
                    for (String line : text.lines().toList()) {
                        String[] fields = line.split(" ");
                        totals.add(WindowId.parse(fields[0]), key(fields, 1), figures(fields, 1));
                    }
                    return totals;
                });
    }

    static String encode(ClosedWindow window) {
        return window.fencing() + "\n" + window.report();
    }

    /** Returns a fixed window, or a failure for a row of another form. */
    public static Try<ClosedWindow> decodeWindow(String text) {
        return Try.of(
                () -> {
                    int end = text.indexOf('\n');
                    long fencing = Long.parseLong(text.substring(0, end));
                    return new ClosedWindow(fencing, text.substring(end + 1));
                });
    }

    static String encode(IncludedTotals included) {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(included.byStart())
                .forEach(
                        (start, totals) ->
                                append(
                                        text,
                                        start.instance().value() + " " + start.start(),
                                        totals));
        return text.toString();
    }

    static Try<IncludedTotals> decodeIncluded(Row row) {
        return Try.of(
                () -> {
                    Map<StartId, Map<UsageKey, UsageCounts>> byStart = new TreeMap<>();
                    for (String line : row.value().lines().toList()) {
                        String[] fields = line.split(" ");
                        StartId start = new StartId(new InstanceId(fields[0]), fields[1]);
                        byStart.computeIfAbsent(start, s -> new TreeMap<>())
                                .put(key(fields, 2), figures(fields, 2));
                    }
                    return new IncludedTotals(row.version(), byStart);
                });
    }

    private static void append(
            StringBuilder text, String lineStart, Map<UsageKey, UsageCounts> totals) {
        new TreeMap<>(totals)
                .forEach(
                        (key, figures) ->
                                text.append(lineStart)
                                        .append(' ')
                                        .append(key.team().value())
                                        .append(' ')
                                        .append(key.route().value())
                                        .append(' ')
                                        .append(key.usageClass().label())
                                        .append(' ')
                                        .append(figures.requests())
                                        .append(' ')
                                        .append(figures.promptTokens())
                                        .append(' ')
                                        .append(figures.generatedTokens())
                                        .append('\n'));
    }

    private static UsageKey key(String[] fields, int first) {
        if (fields.length != first + FIGURES) {
            throw new IllegalArgumentException("a line has " + fields.length + " fields");
        }
        return new UsageKey(
                new TeamName(fields[first]),
                new RouteName(fields[first + 1]),
                UsageClass.ofLabel(fields[first + 2]));
    }

    private static UsageCounts figures(String[] fields, int first) {
        return new UsageCounts(
                Long.parseLong(fields[first + 3]),
                Long.parseLong(fields[first + 4]),
                Long.parseLong(fields[first + 5]));
    }
}
