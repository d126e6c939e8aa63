package org.fuchsialever.cli.tables;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.platform.OperatorClient;
import org.fuchsialever.cli.platform.PlatformSession;
import org.fuchsialever.cli.platform.PlatformTask;
import org.fuchsialever.decisions.config.SnapshotText;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.services.ListedInstance;

/** One run of the command {@code apply}. */
@Parameters(commandDescription = "Put both tables in force and wait until all instances use them")
final class ApplyTask extends PlatformTask {
    private static final long POLL_INTERVAL_MILLIS = 250;

    @ParametersDelegate private TableFiles mFiles = new TableFiles();

    @Parameter(
            names = "--base-version",
            description =
                    "Version that the files are based on, as shown by diff; 0 for the first."
                            + " A newer version in force is never overwritten",
            required = true)
    private long mBaseVersion;

    @Parameter(names = "--wait", description = "Maximum time to wait for the instances (s)")
    private int mWaitSeconds = 13;

    @Override
    protected ExitCode run(CommandContext context, PlatformSession session) throws Exception {
        StoredTables stored = new StoredTables(session);
        SnapshotText next = mFiles.read(mBaseVersion + 1);
        Findings findings = mFiles.check(next);
        if (!findings.isEmpty()) {
            context.err().println(findings.report());
        }
        if (findings.hasErrors()) {
            return ExitCode.USAGE;
        }
        StoredTables.CurrentVersion current = stored.currentVersion();
        Option<StoredTables.CurrentVersion> conflicting =
                current.version() == mBaseVersion
                        ? stored.commit(current, next)
                        : Option.some(current);
        if (conflicting.isDefined()) {
            return reportConflict(context, stored, conflicting.get().version());
        }
        context.out().println("Version " + next.version() + " is in force.");
        return awaitConfirmation(
                context, new OperatorClient(session.platform().instances()), next.version());
    }

    private ExitCode reportConflict(CommandContext context, StoredTables stored, long current) {
        context.err()
                .println(
                        "Nothing was changed: version %d is in force, not version %d."
                                .formatted(current, mBaseVersion));
        if (current > mBaseVersion) {
            Try.of(() -> TableDiff.lines(stored.read(mBaseVersion), stored.read(current)))
                    .onSuccess(lines -> lines.forEach(context.err()::println))
                    .onFailure(
                            failure ->
                                    context.err()
                                            .println(
                                                    "What changed cannot be shown: "
                                                            + failure.getMessage()));
        }
        return ExitCode.CONFLICT;
    }

    private ExitCode awaitConfirmation(CommandContext context, OperatorClient client, long version)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(mWaitSeconds);
        Set<String> unconfirmed = unconfirmedInstances(client, version);
        boolean stopped = false;
        while (!unconfirmed.isEmpty() && !stopped && System.nanoTime() < deadlineNanos) {
            stopped = context.stop().await(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            unconfirmed = unconfirmedInstances(client, version);
        }
        if (unconfirmed.isEmpty()) {
            context.out().println("All listed instances use it.");
            return ExitCode.OK;
        }
        context.err().println("Not confirmed by: " + String.join(", ", unconfirmed));
        return ExitCode.UNCONFIRMED;
    }

    private static Set<String> unconfirmedInstances(OperatorClient client, long version) {
        Option<List<ListedInstance>> listed = client.listInstances();
        if (listed.isEmpty()) {
            return Set.of("(the instance list cannot be read)");
        }
        List<ListedInstance> live =
                listed.get().stream().filter(instance -> !instance.leaving()).toList();
        Set<String> unconfirmed = new TreeSet<>();
        live.forEach(instance -> unconfirmed.add(instance.instance().value()));
        unconfirmed.removeAll(client.instancesAtVersion(live, version));
        return unconfirmed;
    }
}
