package org.fuchsialever.node.samples;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.samples.LengthPredictor;
import org.fuchsialever.decisions.samples.RolloutDuty;
import org.fuchsialever.decisions.samples.RolloutEvent;
import org.fuchsialever.decisions.samples.RolloutLimits;
import org.fuchsialever.decisions.samples.RolloutSetup;
import org.fuchsialever.decisions.samples.StragglerPolicy;
import org.fuchsialever.frontend.Authenticator;
import org.fuchsialever.frontend.ResponseWriter;
import org.fuchsialever.frontend.rollout.RolloutPort;
import org.fuchsialever.frontend.rollout.RolloutServices;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.generation.GenerationPort;
import org.fuchsialever.node.http.Endpoints;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Platform;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** Runs the rollout duty and serves its endpoints for trainers. */
public final class SamplesComponent implements Component {
    private static final String SECTION = "samples";
    private static final int MAX_PORT = 65_535;
    private static final int MAX_HELD_SAMPLES = 65_536;
    private static final int MAX_TRAINERS = 1_024;
    private static final int DEFAULT_MAX_TRAINERS = 64;
    private static final int RESERVED_EVENTS = 4_096;
    private static final int EVENTS_PER_SAMPLE = 4;
    private static final Duration DEFAULT_VERSION_INTERVAL = Duration.ofSeconds(10);

    private String mAddress = "";
    private int mPort;
    private int mMaxHeldSamples;
    private int mMaxTrainers;
    private Duration mVersionInterval = DEFAULT_VERSION_INTERVAL;
    private StragglerPolicy mPolicy = StragglerPolicy.NONE;

    @Override
    public String pluginName() {
        return "samples";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                NodeIdentity.class,
                InvariantMonitor.class,
                Platform.class,
                Leases.class,
                GenerationPort.class,
                ConfigHolder.class,
                Authenticator.class,
                Endpoints.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(RolloutPort.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        mAddress = settings.text("node", "http-address", "");
        mPort = (int) settings.integer("node", "http-port", 0, 0, MAX_PORT);
        mMaxHeldSamples =
                (int)
                        settings.integer(
                                SECTION,
                                "held-samples",
                                RolloutLimits.DEFAULTS.maxHeldSamples(),
                                1,
                                MAX_HELD_SAMPLES);
        mMaxTrainers =
                (int)
                        settings.integer(
                                SECTION, "max-trainers", DEFAULT_MAX_TRAINERS, 1, MAX_TRAINERS);
        mVersionInterval = settings.duration(SECTION, "version-interval", DEFAULT_VERSION_INTERVAL);
        mPolicy =
                settings.choice(
                        SECTION,
                        "straggler-policy",
                        StragglerPolicy.class,
                        StragglerPolicy.LONGEST_FIRST);
    }

    @Override
    public void install(ComponentContext context) {
        String startId = context.require(NodeIdentity.class).startId();
        String ownAddress = mAddress + ":" + mPort;
        RolloutExecutor.RolloutDependencies dependencies =
                dependencies(context, startId, ownAddress);
        RolloutExecutor executor = new RolloutExecutor(dependencies);
        Inbox<RolloutEvent> inbox =
                context.startDuty(
                        new RolloutDuty(setup(context, startId)),
                        mMaxHeldSamples * EVENTS_PER_SAMPLE + RESERVED_EVENTS,
                        OverflowPolicy.REFUSE,
                        executor);
        executor.connect(inbox);
        Disposable versions =
                Flux.interval(mVersionInterval)
                        .onBackpressureDrop()
                        .subscribe(tick -> executor.observeVersions());
        context.closer().register("weight versions of trainers", versions::dispose);
        RolloutService service =
                new RolloutService(
                        context.require(Platform.class),
                        executor,
                        dependencies,
                        ownAddress,
                        mMaxTrainers);
        context.provide(RolloutPort.class, service);
        addEndpoints(context, service, startId);
    }

    private RolloutSetup setup(ComponentContext context, String startId) {
        RolloutLimits defaults = RolloutLimits.DEFAULTS;
        return new RolloutSetup(
                startId,
                new RolloutLimits(
                        mMaxHeldSamples,
                        defaults.maxOpenSamples(),
                        defaults.maxBatchSamples(),
                        defaults.maxBatchDelay(),
                        defaults.initialRetryDelay(),
                        defaults.maxRetryDelay(),
                        defaults.maxOpenPolls()),
                mPolicy,
                new LengthPredictor(),
                context.random("rollouts"),
                context.require(InvariantMonitor.class));
    }

    private static RolloutExecutor.RolloutDependencies dependencies(
            ComponentContext context, String startId, String ownAddress) {
        Platform platform = context.require(Platform.class);
        Leases leases = context.require(Leases.class);
        return new RolloutExecutor.RolloutDependencies(
                startId,
                context.require(ConfigHolder.class),
                leases,
                context.require(GenerationPort.class),
                platform.judge(),
                platform.weights(),
                new SampleObjects(platform.objects()),
                new CommitSender(platform.tables(), leases, ownAddress, context.time()),
                new RolloutRestorer(platform, context.time()),
                new PendingRequests(),
                new RolloutMetrics(context.meters()),
                context.time());
    }

    private static void addEndpoints(
            ComponentContext context, RolloutService service, String startId) {
        AtomicLong sequence = new AtomicLong();
        Endpoints endpoints = context.require(Endpoints.class);
        new RolloutServices(
                        context.require(ConfigHolder.class)::current,
                        () -> new RequestId(startId + "-r" + sequence.incrementAndGet()),
                        context.require(Authenticator.class),
                        service,
                        new ResponseWriter(context.meters()))
                .endpoints()
                .forEach(endpoints::add);
    }
}
