package org.fuchsialever.cli.tables;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.kernel.findings.Findings;

/** One run of the command {@code check}. */
@Parameters(commandDescription = "Check both tables and print all findings")
final class CheckTask extends CommandTask {
    @ParametersDelegate private TableFiles mFiles = new TableFiles();

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        Findings findings = mFiles.check(mFiles.read(1));
        if (!findings.isEmpty()) {
            context.err().println(findings.report());
        }
        if (findings.hasErrors()) {
            return ExitCode.USAGE;
        }
        context.out().println("The tables can be applied.");
        return ExitCode.OK;
    }
}
