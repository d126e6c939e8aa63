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

    @ParametersDelegate private TableFiles files = new TableFiles();

    @Parameter(
            names = "--base-version",
            description =
                    "Version that the files were made from, as shown by diff; 0 for the first. A"
                            + " newer one in force is never overwritten",
            required = true)
    private long baseVersion;

    @Parameter(names = "--wait", description = "Longest time to wait for the instances (s)")
    private int waitSeconds = 13;

    @Override
    protected ExitCode run(CommandContext context, PlatformSession session) throws Exception {
        StoredTables stored = new StoredTables(session);
        SnapshotText next = files.read(baseVersion + 1);
        Findings findings = files.check(next);
        if (!findings.isEmpty()) {
            context.err().println(findings.report());
        }
        if (findings.hasErrors()) {
            return ExitCode.USAGE;
        }
        StoredTables.CurrentVersion head = stored.currentVersion();
        Option<StoredTables.CurrentVersion> other =
                head.version() == baseVersion ? stored.commit(head, next) : Option.some(head);
        if (other.isDefined()) {
            return reportConflict(context, stored, other.get().version());
        }
        context.out().println("Version " + next.version() + " is in force.");
        return awaitConfirmation(
                context, new OperatorClient(session.platform().instances()), next.version());
    }

    private ExitCode reportConflict(CommandContext context, StoredTables stored, long present) {
        context.err()
                .println(
                        "Nothing was changed: version %d is in force, not version %d."
                                .formatted(present, baseVersion));
        if (present > baseVersion) {
            Try.of(() -> TableDiff.lines(stored.read(baseVersion), stored.read(present)))
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

    private ExitCode awaitConfirmation(
            CommandContext context, OperatorClient instances, long version)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
        Set<String> missing = unconfirmedInstances(instances, version);
        boolean stopped = false;
        while (!missing.isEmpty() && !stopped && System.nanoTime() < end) {
            stopped = context.stop().await(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            missing = unconfirmedInstances(instances, version);
        }
        if (missing.isEmpty()) {
            context.out().println("All listed instances use it.");
            return ExitCode.OK;
        }
        context.err().println("Not confirmed by: " + String.join(", ", missing));
        return ExitCode.UNCONFIRMED;
    }

    private static Set<String> unconfirmedInstances(OperatorClient instances, long version) {
        Option<List<ListedInstance>> listed = instances.listInstances();
        if (listed.isEmpty()) {
            return Set.of("(the instance list cannot be read)");
        }
        List<ListedInstance> live =
                listed.get().stream().filter(instance -> !instance.leaving()).toList();
        Set<String> missing = new TreeSet<>();
        live.forEach(instance -> missing.add(instance.instance().value()));
        missing.removeAll(instances.instancesAtVersion(live, version));
        return missing;
    }
}
