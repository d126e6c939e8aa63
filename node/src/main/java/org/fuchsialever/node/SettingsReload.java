package org.fuchsialever.node;

import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.settings.IniDocument;
import org.fuchsialever.node.trace.TraceLog;

/**
 * Reads the settings again when the process is told that they have changed. A running instance
 * keeps its settings, because addresses and names cannot change under open connections; a file that
 * can be read takes effect at the next start, and each changed key is logged, also to the
 * structured log of the instance.
 */
final class SettingsReload {
    private static final PartLogger LOG = PartLogger.of("node");

    private final String mFile;
    private final IniDocument mInForce;
    private final Function<String, Findings> mCheck;
    private Option<TraceLog> mTrace = Option.none();

    /**
     * Creates a reload.
     *
     * @param text the settings in force
     * @param check returns what an instance would find in a text at its start
     */
    SettingsReload(String file, String text, Function<String, Findings> check) {
        mFile = file;
        mCheck = check;
        mInForce = IniDocument.parse(file, text, new Findings());
    }

    /** Writes what later reloads find to the structured log as well. */
    synchronized void logTo(Option<TraceLog> log) {
        mTrace = log;
    }

    /** Reads the file and logs what differs; never fails. */
    synchronized void reload() {
        try {
            report(Files.readString(Path.of(mFile)));
        } catch (IOException e) {
            LOG.warning("Settings could not be read again; those in force stay.", e);
            line("unreadable", String.valueOf(e.getMessage()));
        }
    }

    /** Returns the keys that differ from the settings in force, or none if the text is unusable. */
    synchronized List<String> report(String text) {
        Findings findings = new Findings();
        IniDocument read = IniDocument.parse(mFile, text, findings);
        if (findings.hasErrors()) {
            LOG.warning("Settings cannot be used; those in force stay: " + findings.report());
            line("unusable", findings.report());
            return List.of();
        }
        List<String> changed = changedKeys(mInForce, read);
        LOG.info(
                changed.isEmpty()
                        ? "Settings were read again; nothing has changed."
                        : "Settings take effect at the next start; changed: " + changed + ".");
        line(changed.isEmpty() ? "unchanged" : "changed", String.join(", ", changed));
        Findings atStart = mCheck.apply(text);
        if (atStart.hasErrors()) {
            LOG.warning("No instance would start with these settings: " + atStart.report());
            line("would-not-start", atStart.report());
        }
        return changed;
    }

    private void line(String outcome, String details) {
        mTrace.forEach(
                log ->
                        log.line("node", "reload")
                                .with("file", mFile)
                                .with("outcome", outcome)
                                .with("details", details)
                                .write());
    }

    private static List<String> changedKeys(IniDocument before, IniDocument after) {
        List<String> changed = new ArrayList<>();
        for (String section : after.sections()) {
            for (String key : after.keys(section)) {
                if (!after.value(section, key).equals(before.value(section, key))) {
                    changed.add(section + "/" + key);
                }
            }
        }
        for (String section : before.sections()) {
            for (String key : before.keys(section)) {
                if (after.value(section, key).isEmpty()) {
                    changed.add(section + "/" + key);
                }
            }
        }
        return changed;
    }
}
