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

/** Runs rollouts for trainers. */
public final class SamplesComponent implements Component {
    private static final String SECTION = "samples";
    private static final int MAX_PORT = 65_535;
    private static final int MAX_HELD = 65_536;
    private static final int MAX_TRAINERS = 1_024;
    private static final int USUAL_TRAINERS = 64;
    private static final int SPARE_EVENTS = 4_096;
    private static final int EVENTS_PER_SAMPLE = 4;
    private static final Duration USUAL_VERSION_INTERVAL = Duration.ofSeconds(10);

    private String address = "";
    private int port;
    private int heldSamples;
    private int maxTrainers;
    private Duration versionInterval = USUAL_VERSION_INTERVAL;
    private StragglerPolicy policy = StragglerPolicy.NONE;

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
        address = settings.text("node", "http-address", "");
        port = (int) settings.integer("node", "http-port", 0, 0, MAX_PORT);
        heldSamples =
                (int)
                        settings.integer(
                                SECTION,
                                "held-samples",
                                RolloutLimits.DEFAULTS.maxHeldSamples(),
                                1,
                                MAX_HELD);
        maxTrainers =
                (int) settings.integer(SECTION, "max-trainers", USUAL_TRAINERS, 1, MAX_TRAINERS);
        versionInterval = settings.duration(SECTION, "version-interval", USUAL_VERSION_INTERVAL);
        policy =
                settings.choice(
                        SECTION,
                        "straggler-policy",
                        StragglerPolicy.class,
                        StragglerPolicy.LONGEST_FIRST);
    }

    @Override
    public void install(ComponentContext context) {
        String start = context.require(NodeIdentity.class).startId();
        String self = address + ":" + port;
        RolloutExecutor.RolloutParts parts = parts(context, start, self);
        RolloutExecutor executor = new RolloutExecutor(parts);
        Inbox<RolloutEvent> inbox =
                context.startDuty(
                        new RolloutDuty(setup(context, start)),
                        heldSamples * EVENTS_PER_SAMPLE + SPARE_EVENTS,
                        OverflowPolicy.REFUSE,
                        executor);
        executor.connect(inbox);
        Disposable versions =
                Flux.interval(versionInterval)
                        .onBackpressureDrop()
                        .subscribe(tick -> executor.observeVersions());
        context.closer().register("weight versions of trainers", versions::dispose);
        RolloutService service =
                new RolloutService(
                        context.require(Platform.class), executor, parts, self, maxTrainers);
        context.provide(RolloutPort.class, service);
        addEndpoints(context, service, start);
    }

    private RolloutSetup setup(ComponentContext context, String start) {
        RolloutLimits usual = RolloutLimits.DEFAULTS;
        return new RolloutSetup(
                start,
                new RolloutLimits(
                        heldSamples,
                        usual.maxOpenSamples(),
                        usual.maxBatchSamples(),
                        usual.maxBatchDelay(),
                        usual.initialRetryDelay(),
                        usual.maxRetryDelay(),
                        usual.maxOpenPolls()),
                policy,
                new LengthPredictor(),
                context.random("rollouts"),
                context.require(InvariantMonitor.class));
    }

    private static RolloutExecutor.RolloutParts parts(
            ComponentContext context, String start, String self) {
        Platform platform = context.require(Platform.class);
        Leases leases = context.require(Leases.class);
        return new RolloutExecutor.RolloutParts(
                start,
                context.require(ConfigHolder.class),
                leases,
                context.require(GenerationPort.class),
                platform.judge(),
                platform.weights(),
                new SampleObjects(platform.objects()),
                new CommitSender(platform.tables(), leases, self, context.time()),
                new RolloutRestorer(platform, context.time()),
                new PendingRequests(),
                new RolloutMetrics(context.meters()),
                context.time());
    }

    private static void addEndpoints(
            ComponentContext context, RolloutService service, String start) {
        AtomicLong sequence = new AtomicLong();
        Endpoints endpoints = context.require(Endpoints.class);
        new RolloutServices(
                        context.require(ConfigHolder.class)::current,
                        () -> new RequestId(start + "-r" + sequence.incrementAndGet()),
                        context.require(Authenticator.class),
                        service,
                        new ResponseWriter(context.meters()))
                .endpoints()
                .forEach(endpoints::add);
    }
}
