package org.fuchsialever.node.entry;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.batch.BatchDrain;
import org.fuchsialever.node.batch.BatchService;
import org.fuchsialever.node.callers.CallerGuard;
import org.fuchsialever.node.callers.CallerSettings;
import org.fuchsialever.node.callers.ClosingLog;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.forward.ForwardPort;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.node.http.MetricsText;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/** Opens the ports for callers, readiness checks and metrics. */
public final class EntryComponent implements Component {
    private static final String MSG_BAD_ADDRESS = "entry.bad-address";
    private static final String SECTION = "entry";
    private static final int MAX_PORT = 65_535;

    /** The load balancer notices a draining instance within two checks, one per second. */
    private static final Duration DEFAULT_LINGER = Duration.ofMillis(2_600);

    private static final Duration DEFAULT_GRACE = Duration.ofSeconds(8);

    /** An instance whose mirrored tables are staler than this reports that it is not ready. */
    private static final long MAX_STALENESS_MILLIS = 3_000;

    /** Duties run at least once a second; one that has not run for longer is stuck or lost. */
    private static final long MAX_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Leaves the other half of the heap to state, to the store's calls and to the collector. */
    private static final long DEFAULT_MEMORY_PERCENT = 50;

    private static final int PERCENT = 100;

    private String mHost = "";
    private int mPort;
    private int mReadinessPort;
    private int mMetricsPort;
    private long mMemoryPercent = DEFAULT_MEMORY_PERCENT;
    private CallerSettings mCallers = CallerSettings.DEFAULTS;
    private StopTimes mStopTimes = new StopTimes(DEFAULT_LINGER, DEFAULT_GRACE);

    @Override
    public String pluginName() {
        return "entry";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                HostedServices.class,
                Directory.class,
                ForwardPort.class,
                BatchService.class,
                BatchDrain.class,
                DrainSignal.class,
                LoopResources.class,
                TraceLog.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of();
    }

    @Override
    public void configure(SettingsReader settings) {
        mHost = settings.requiredText(SECTION, "address");
        mPort = port(settings, "listen");
        mReadinessPort = port(settings, "readiness-listen");
        mMetricsPort = (int) settings.integer(SECTION, "metrics-port", 0, 0, MAX_PORT);
        mMemoryPercent = settings.integer(SECTION, "memory-percent", DEFAULT_MEMORY_PERCENT, 1, 80);
        mCallers = CallerSettings.read(settings, SECTION);
        mStopTimes =
                new StopTimes(
                        settings.duration(SECTION, "linger", DEFAULT_LINGER),
                        settings.duration(SECTION, "grace", DEFAULT_GRACE));
    }

    /** Reads the port of an address such as {@code 10.1.0.31:8368}; 0 means any free one. */
    private static int port(SettingsReader settings, String key) {
        String value = settings.text(SECTION, key, ":0");
        String digits = value.substring(value.lastIndexOf(':') + 1);
        if (!digits.matches("[0-9]{1,5}") || Integer.parseInt(digits) > MAX_PORT) {
            settings.findings()
                    .error(
                            settings.location(SECTION, key),
                            MSG_BAD_ADDRESS,
                            "\"%s\" is not an address with a port",
                            value);
            return 0;
        }
        return Integer.parseInt(digits);
    }

    @Override
    public void install(ComponentContext context) {
        HostedServices services = context.require(HostedServices.class);
        Directory directory = context.require(Directory.class);
        DrainSignal drain = context.require(DrainSignal.class);
        LoopResources loops = context.require(LoopResources.class);
        TraceLog trace = context.require(TraceLog.class);
        Refusals refusals = new Refusals(services.entry(), trace, context.meters());
        EntryHandler handler =
                new EntryHandler(
                        directory,
                        context.require(ForwardPort.class),
                        context.require(BatchService.class),
                        services.entry(),
                        services.upstreams(),
                        refusals,
                        drain,
                        mStopTimes,
                        context.time());
        Scheduler timers = Schedulers.fromExecutorService(loops.onServer(true));
        InstanceMemory memory =
                new InstanceMemory(
                        Runtime.getRuntime().maxMemory() / PERCENT * mMemoryPercent,
                        context.time(),
                        timers,
                        context.meters());
        BodyReader bodies = new BodyReader(timers);
        CallerGuard guard = guard(context, memory, timers);
        openMetrics(context, memory, bodies, guard);
        EntryServer readiness =
                open(
                        context,
                        handler,
                        refusals,
                        drain,
                        directory,
                        memory,
                        bodies,
                        guard,
                        mReadinessPort);
        EntryServer entry =
                open(context, handler, refusals, drain, directory, memory, bodies, guard, mPort);
        trace.line("entry", "listening")
                .with("address", mHost)
                .with("port", entry.port())
                .with("readinessPort", readiness.port())
                .write();
        context.closer()
                .register(
                        "calls in progress",
                        new EntryDrain(
                                drain,
                                context.require(BatchDrain.class),
                                entry,
                                mStopTimes,
                                context.time(),
                                trace));
    }

    private EntryServer open(
            ComponentContext context,
            EntryHandler handler,
            Refusals refusals,
            DrainSignal drain,
            Directory directory,
            InstanceMemory memory,
            BodyReader bodies,
            CallerGuard guard,
            int openedPort) {
        EntryServer server =
                new EntryServer(
                        mHost,
                        openedPort,
                        context.require(LoopResources.class),
                        handler,
                        context.require(HostedServices.class).entry(),
                        refusals,
                        () ->
                                !drain.isStarted()
                                        && isCurrent(directory)
                                        && context.longestSilenceNanos() < MAX_SILENCE_NANOS,
                        drain,
                        memory,
                        bodies,
                        guard);
        context.closer().register("entry on port " + server.port(), server);
        return server;
    }

    private static boolean isCurrent(Directory directory) {
        return directory.manifest().isDefined()
                && directory.stalenessMillis(DirectoryTable.DECLARATIONS) < MAX_STALENESS_MILLIS
                && directory.stalenessMillis(DirectoryTable.UPSTREAMS) < MAX_STALENESS_MILLIS
                && directory.stalenessMillis(DirectoryTable.BATCHES) < MAX_STALENESS_MILLIS;
    }

    private CallerGuard guard(ComponentContext context, InstanceMemory memory, Scheduler timers) {
        TraceLog trace = context.require(TraceLog.class);
        return mCallers.guard(
                context.require(Directory.class)::manifest,
                memory::responsesAreTight,
                context.time(),
                timers,
                new ClosingLog(
                        context.time(),
                        context.meters(),
                        (reason, count) ->
                                trace.line(SECTION, "connections-closed")
                                        .with("reason", reason.name())
                                        .with("count", count)
                                        .write()),
                context.meters());
    }

    private void openMetrics(
            ComponentContext context, InstanceMemory memory, BodyReader bodies, CallerGuard guard) {
        if (mMetricsPort > 0 && context.meters() instanceof PrometheusMeterRegistry prometheus) {
            context.closer()
                    .register(
                            "metrics",
                            new MetricsServer(
                                    mHost,
                                    mMetricsPort,
                                    context.require(LoopResources.class),
                                    new MetricsText(prometheus, context.time()),
                                    memory,
                                    bodies,
                                    guard));
        }
    }
}
