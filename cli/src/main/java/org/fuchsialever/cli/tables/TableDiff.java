package org.fuchsialever.cli.tables;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.fuchsialever.decisions.config.SnapshotText;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.settings.IniDocument;

/** Compares two versions of the tables by section and key. */
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
        IniDocument oldDocument = IniDocument.parse(table, before, new Findings());
        IniDocument newDocument = IniDocument.parse(table, after, new Findings());
        List<String> lines = new ArrayList<>();
        TreeSet<String> sections = new TreeSet<>(oldDocument.sections());
        sections.addAll(newDocument.sections());
        for (String section : sections) {
            String location = table + ": [" + section + "]";
            if (!oldDocument.sections().contains(section)) {
                lines.add(location + " is added");
            } else if (!newDocument.sections().contains(section)) {
                lines.add(location + " is removed");
                continue;
            }
            TreeSet<String> keys = new TreeSet<>(oldDocument.keys(section));
            keys.addAll(newDocument.keys(section));
            for (String key : keys) {
                Option<String> oldValue = oldDocument.value(section, key);
                Option<String> newValue = newDocument.value(section, key);
                if (!oldValue.equals(newValue)) {
                    lines.add(
                            "%s %s: %s -> %s"
                                    .formatted(
                                            location,
                                            key,
                                            oldValue.getOrElse("(none)"),
                                            newValue.getOrElse("(none)")));
                }
            }
        }
        return lines;
    }
}
