package org.fuchsialever.cli.tables;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.fuchsialever.decisions.config.SnapshotText;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.settings.IniDocument;

/** Differences between two versions of the tables, by section and key. */
final class TableDiff {
    private TableDiff() {}

    /** Returns one line for each difference, sorted by section and key within each table. */
    static List<String> lines(SnapshotText before, SnapshotText after) {
        List<String> lines = new ArrayList<>();
        lines.addAll(lines("routes", before.routes(), after.routes()));
        lines.addAll(lines("pools", before.pools(), after.pools()));
        return lines;
    }

    private static List<String> lines(String table, String before, String after) {
        IniDocument old = IniDocument.parse(table, before, new Findings());
        IniDocument fresh = IniDocument.parse(table, after, new Findings());
        List<String> lines = new ArrayList<>();
        TreeSet<String> sections = new TreeSet<>(old.sections());
        sections.addAll(fresh.sections());
        for (String section : sections) {
            String place = table + ": [" + section + "]";
            if (!old.sections().contains(section)) {
                lines.add(place + " is added");
            } else if (!fresh.sections().contains(section)) {
                lines.add(place + " is removed");
                continue;
            }
            TreeSet<String> keys = new TreeSet<>(old.keys(section));
            keys.addAll(fresh.keys(section));
            for (String key : keys) {
                Option<String> was = old.value(section, key);
                Option<String> is = fresh.value(section, key);
                if (!was.equals(is)) {
                    lines.add(
                            "%s %s: %s -> %s"
                                    .formatted(
                                            place,
                                            key,
                                            was.getOrElse("(none)"),
                                            is.getOrElse("(none)")));
                }
            }
        }
        return lines;
    }
}
