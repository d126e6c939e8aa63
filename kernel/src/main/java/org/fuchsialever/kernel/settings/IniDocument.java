package org.fuchsialever.kernel.settings;

import io.vavr.control.Option;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.findings.Location;

/** A parsed INI file with the line numbers of its sections and keys. */
public final class IniDocument {
    private static final String MSG_SYNTAX = "ini.syntax";
    private static final String MSG_DUPLICATE_KEY = "ini.duplicate-key";
    private static final String MSG_DUPLICATE_SECTION = "ini.duplicate-section";
    private static final String MSG_NO_SECTION = "ini.key-outside-section";

    private final String mFile;
    private final Map<String, Map<String, String>> mSections = new LinkedHashMap<>();
    private final Map<String, Integer> mLines = new LinkedHashMap<>();

    private IniDocument(String file) {
        mFile = file;
    }

    /**
     * Parses the content of a file.
     *
     * @param file the name of the file, for findings
     * @param findings receives errors for bad syntax and for duplicate sections and keys
     * @return the document without the parts that could not be read
     */
    public static IniDocument parse(String file, String text, Findings findings) {
        IniDocument document = new IniDocument(file);
        document.indexLines(text, findings);
        INIConfiguration configuration = new INIConfiguration();
        try {
            configuration.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            findings.error(new Location(file, 0, ""), MSG_SYNTAX, "cannot be read as INI: %s", e);
            return document;
        }
        // One pass over the nodes: looking up each section by its name in the library takes
        // quadratic time, 10 s for 10,000 sections.
        for (ImmutableNode node : rootOf(configuration).getChildren()) {
            if (!node.getChildren().isEmpty() || document.mLines.containsKey(node.getNodeName())) {
                document.readSection(node);
            }
        }
        return document;
    }

    /** Returns the names of all sections in the order of the file. */
    public List<String> sections() {
        return List.copyOf(mSections.keySet());
    }

    /**
     * Returns the keys of a section in the order of the file; empty if there is no such section.
     */
    public List<String> keys(String section) {
        return List.copyOf(mSections.getOrDefault(section, Map.of()).keySet());
    }

    /** Returns the value of a key, without surrounding white space. */
    public Option<String> value(String section, String key) {
        return Option.of(mSections.getOrDefault(section, Map.of()).get(key));
    }

    /** Returns the location of a key, or of its section if the key does not occur. */
    public Location location(String section, String key) {
        Integer line = mLines.get(section + "/" + key);
        if (line == null) {
            line = mLines.getOrDefault(section, 0);
        }
        return new Location(mFile, line, section + "/" + key);
    }

    /** Returns the location of a section. */
    public Location location(String section) {
        return new Location(mFile, mLines.getOrDefault(section, 0), section);
    }

    private static ImmutableNode rootOf(INIConfiguration configuration) {
        return configuration.getNodeModel().getInMemoryRepresentation();
    }

    private void readSection(ImmutableNode section) {
        Map<String, String> values = new LinkedHashMap<>();
        for (ImmutableNode key : section.getChildren()) {
            Object value = key.getValue();
            values.put(key.getNodeName(), value == null ? "" : value.toString().strip());
        }
        mSections.put(section.getNodeName(), values);
    }

    private void indexLines(String text, Findings findings) {
        String section = "";
        List<String> content = new ArrayList<>(text.lines().toList());
        for (int i = 0; i < content.size(); i++) {
            String line = content.get(i).strip();
            if (line.startsWith("[") && line.endsWith("]")) {
                section = line.substring(1, line.length() - 1).strip();
                indexName(
                        section,
                        new Location(mFile, i + 1, section),
                        MSG_DUPLICATE_SECTION,
                        findings);
            } else if (!line.isEmpty() && !line.startsWith("#") && !line.startsWith(";")) {
                indexKey(section, line, i + 1, findings);
            }
        }
    }

    private void indexKey(String section, String line, int number, Findings findings) {
        int separator = line.indexOf('=');
        if (separator <= 0) {
            findings.error(
                    new Location(mFile, number, section), MSG_SYNTAX, "expected \"key = value\"");
            return;
        }
        String key = line.substring(0, separator).strip();
        Location location = new Location(mFile, number, section + "/" + key);
        if (section.isEmpty()) {
            findings.error(location, MSG_NO_SECTION, "a key must follow a [section] header");
        }
        indexName(section + "/" + key, location, MSG_DUPLICATE_KEY, findings);
    }

    private void indexName(String name, Location location, String messageKey, Findings findings) {
        Integer earlier = mLines.putIfAbsent(name, location.line());
        if (earlier != null) {
            findings.error(location, messageKey, "already defined in line %d", earlier);
        }
    }
}
