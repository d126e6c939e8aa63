package org.fuchsialever.decisions.config;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.model.Names;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.settings.SettingsReader;

/** Names in table sections and keys. */
final class TableSections {
    private static final String MSG_BAD_NAME = "table.bad-name";

    private final SettingsReader reader;

    TableSections(SettingsReader reader) {
        this.reader = reader;
    }

    /** Returns the names of the sections {@code [<type> <name>]}; bad names are findings. */
    List<String> named(String type) {
        List<String> names = new ArrayList<>();
        for (String section : reader.document().sections()) {
            if (section.startsWith(type + " ")) {
                String name = section.substring(type.length() + 1).strip();
                if (Names.isValid(name)) {
                    names.add(name);
                } else {
                    findings()
                            .error(
                                    reader.document().location(section),
                                    MSG_BAD_NAME,
                                    "the name needs %s",
                                    Names.RULE);
                }
            }
        }
        return names;
    }

    /** Returns the name that a key must hold; a missing or bad name is a finding. */
    Option<String> name(String section, String key) {
        String value = reader.requiredText(section, key);
        if (value.isEmpty()) {
            return Option.none();
        }
        if (!Names.isValid(value)) {
            findings()
                    .error(
                            reader.location(section, key),
                            MSG_BAD_NAME,
                            "\"%s\" is not a name; it needs %s",
                            value,
                            Names.RULE);
            return Option.none();
        }
        return Option.some(value);
    }

    private Findings findings() {
        return reader.findings();
    }
}
