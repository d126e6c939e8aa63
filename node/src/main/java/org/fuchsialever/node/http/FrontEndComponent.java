package org.fuchsialever.node.http;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.Authenticator;
import org.fuchsialever.frontend.CallEndpoint;
import org.fuchsialever.frontend.CallPort;
import org.fuchsialever.frontend.ConnectionGuard;
import org.fuchsialever.frontend.Endpoint;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.frontend.ResponseWriter;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.callers.CallerGuard;
import org.fuchsialever.node.callers.CallerSettings;
import org.fuchsialever.node.callers.ClosingLog;
import org.fuchsialever.node.callers.GuardedPort;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.dispatch.CallDrain;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;

/** Opens the HTTP port for callers, trainers and operators. */
public final class FrontEndComponent implements Component {
    private static final PartLogger LOG = PartLogger.of("front-end");
    private static final String SECTION = "node";
    private static final int MAX_PORT = 65_535;
    private static final Duration DEFAULT_DRAIN_DEADLINE = Duration.ofSeconds(30);

    private String mAddress = "";
    private int mPort;
    private Duration mDrainDeadline = DEFAULT_DRAIN_DEADLINE;
    private CallerSettings mCallers = CallerSettings.DEFAULTS;

    @Override
    public String pluginName() {
        return "front-end";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                ConfigHolder.class,
                Authenticator.class,
                CallPort.class,
                NodeIdentity.class,
                Readiness.class,
                Endpoints.class,
                CallDrain.class,
                InvariantMonitor.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(HttpFrontEnd.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        mAddress = settings.requiredText(SECTION, "http-address");
        mPort = (int) settings.integer(SECTION, "http-port", 0, 0, MAX_PORT);
        mDrainDeadline = settings.duration("limits", "drain-deadline", DEFAULT_DRAIN_DEADLINE);
        mCallers = CallerSettings.read(settings, "limits");
    }

    @Override
    public void install(ComponentContext context) {
        List<Endpoint> endpoints = new ArrayList<>();
        endpoints.add(new HealthEndpoint("/healthz", () -> true));
        Readiness readiness = context.require(Readiness.class);
        endpoints.add(new HealthEndpoint("/readyz", readiness::isReady));
        if (context.meters() instanceof PrometheusMeterRegistry prometheus) {
            endpoints.add(new MetricsEndpoint(new MetricsText(prometheus, context.time())));
        }
        endpoints.addAll(context.require(Endpoints.class).all());
        ResponseWriter responses = new ResponseWriter(context.meters());
        endpoints.add(callEndpoint(context, responses));
        HttpFrontEnd frontEnd =
                new HttpFrontEnd(mAddress, mPort, endpoints, guard(context), responses);
        context.closer().register("front end", frontEnd);
        Drain drain =
                new Drain(
                        frontEnd,
                        context.require(CallDrain.class),
                        mDrainDeadline,
                        context.require(InvariantMonitor.class));
        readiness.addCondition("not draining", () -> !drain.isStarted());
        context.closer().register("calls in progress", drain);
        context.provide(HttpFrontEnd.class, frontEnd);
    }

    private ConnectionGuard guard(ComponentContext context) {
        CallerGuard guard =
                mCallers.guard(
                        Option::none,
                        () -> false,
                        context.time(),
                        Schedulers.single(),
                        new ClosingLog(
                                context.time(),
                                context.meters(),
                                (reason, count) ->
                                        LOG.info("Closed " + count + " connections: " + reason)),
                        context.meters());
        return new ConnectionGuard() {
            @Override
            public HttpServer guarded(HttpServer server) {
                return GuardedPort.guarded(server, guard, channel -> {});
            }

            @Override
            public boolean isRefused(HttpServerRequest request) {
                return GuardedPort.isRefused(request);
            }
        };
    }

    private static CallEndpoint callEndpoint(ComponentContext context, ResponseWriter responses) {
        ConfigHolder config = context.require(ConfigHolder.class);
        String prefix = context.require(NodeIdentity.class).startId();
        AtomicLong sequence = new AtomicLong();
        return new CallEndpoint(
                config::current,
                () -> new RequestId(prefix + "-" + sequence.incrementAndGet()),
                context.require(Authenticator.class),
                context.require(CallPort.class),
                responses);
    }
}
