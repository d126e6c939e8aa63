package org.fuchsialever.decisions.config;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.model.Names;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.settings.SettingsReader;

/** Reads and validates names in section headers and values of a table. */
final class TableSections {
    private static final String MSG_BAD_NAME = "table.bad-name";

    private final SettingsReader mReader;

    TableSections(SettingsReader reader) {
        mReader = reader;
    }

    /** Returns the names of all sections {@code [type name]}; reports invalid names. */
    List<String> sectionNames(String type) {
        List<String> names = new ArrayList<>();
        for (String section : mReader.document().sections()) {
            if (section.startsWith(type + " ")) {
                String name = section.substring(type.length() + 1).strip();
                if (Names.isValid(name)) {
                    names.add(name);
                } else {
                    findings()
                            .error(
                                    mReader.document().location(section),
                                    MSG_BAD_NAME,
                                    "the name needs %s",
                                    Names.RULE);
                }
            }
        }
        return names;
    }

    /** Returns the name that a key must contain; reports a missing or invalid name. */
    Option<String> requiredName(String section, String key) {
        String value = mReader.requiredText(section, key);
        if (value.isEmpty()) {
            return Option.none();
        }
        if (!Names.isValid(value)) {
            findings()
                    .error(
                            mReader.location(section, key),
                            MSG_BAD_NAME,
                            "\"%s\" is not a name; it needs %s",
                            value,
                            Names.RULE);
            return Option.none();
        }
        return Option.some(value);
    }

    private Findings findings() {
        return mReader.findings();
    }
}
