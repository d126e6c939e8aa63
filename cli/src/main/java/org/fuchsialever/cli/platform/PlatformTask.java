package org.fuchsialever.cli.platform;

import com.beust.jcommander.Parameter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.command.JsonTask;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.settings.IniDocument;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.platform.PlatformComponent;

/** A run of a command that uses the platform configured in a settings file. */
public abstract class PlatformTask extends JsonTask {
    @Parameter(
            names = "--settings",
            description = "Node settings (INI); only section [platform] is used",
            required = true)
    private String mSettings = "";

    @Override
    public final ExitCode run(CommandContext context) throws Exception {
        Findings findings = new Findings();
        IniDocument document =
                IniDocument.parse(mSettings, Files.readString(Path.of(mSettings)), findings);
        SettingsReader reader = new SettingsReader(document, findings);
        PlatformComponent component = new PlatformComponent();
        component.configure(reader);
        if (findings.hasErrors()) {
            context.err().println(findings.report());
            return ExitCode.USAGE;
        }
        try (PlatformSession session = PlatformSession.open(component, reader)) {
            return run(context, session);
        }
    }

    /**
     * Runs the command.
     *
     * @param context output streams and stop signal
     * @param session the platform session; the caller closes it
     * @return the exit code
     * @throws Exception if the command fails in a way that it does not handle
     */
    protected abstract ExitCode run(CommandContext context, PlatformSession session)
            throws Exception;
}
