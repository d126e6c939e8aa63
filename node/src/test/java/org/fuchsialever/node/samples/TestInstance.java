package org.fuchsialever.node.samples;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.frontend.Authenticator;
import org.fuchsialever.frontend.CallPort;
import org.fuchsialever.frontend.Caller;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.invariant.CountingInvariantMonitor;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.plugin.Assembly;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.IniDocument;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.fuchsialever.node.IdentityComponent;
import org.fuchsialever.node.config.TableFilesComponent;
import org.fuchsialever.node.dispatch.CallDrain;
import org.fuchsialever.node.generation.GenerationPort;
import org.fuchsialever.node.http.EndpointsComponent;
import org.fuchsialever.node.http.FrontEndComponent;
import org.fuchsialever.node.http.ReadinessComponent;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.platform.FreePorts;
import org.fuchsialever.services.Platform;
import reactor.core.publisher.Mono;

/** An instance whose component {@code samples} uses fake dependencies. */
final class TestInstance implements AutoCloseable {
    final int mPort;
    final Leases mLeases;
    final MeterRegistry mMeters = new SimpleMeterRegistry();
    private final Closer mCloser = new Closer();
    private final CountingInvariantMonitor mInvariants;

    TestInstance(
            String name, Path tables, Platform platform, Leases leases, GenerationPort generation)
            throws IOException {
        mLeases = leases;
        mPort = FreePorts.next();
        String settingsText =
                """
                [node]
                name = %s
                region = region-1
                failure-domain = fd-1
                http-address = 127.0.0.1
                http-port = %d
                [tables]
                routes = %s
                pools = %s
                [samples]
                straggler-policy = longest-first
                """
                        .formatted(
                                name,
                                mPort,
                                tables.resolve("routes.ini"),
                                tables.resolve("pools.ini"));
        Findings findings = new Findings();
        SettingsReader settings =
                new SettingsReader(IniDocument.parse("node.ini", settingsText, findings), findings);
        List<Component> components =
                List.of(
                        new IdentityComponent(),
                        new TableFilesComponent(),
                        new EndpointsComponent(),
                        new ReadinessComponent(),
                        new Fakes(platform, leases, generation),
                        new SamplesComponent(),
                        new FrontEndComponent());
        Assembly assembly = Assembly.of(components, findings);
        assembly.configure(settings);
        settings.reportUnknownKeys();
        if (findings.hasErrors()) {
            throw new AssertionError(findings.report());
        }
        ComponentContext context =
                new ComponentContext(settings, mCloser, SystemTimeSource.INSTANCE, 1, mMeters);
        assembly.install(context);
        mInvariants = context.require(CountingInvariantMonitor.class);
    }

    long violations() {
        return mInvariants.violationCount();
    }

    @Override
    public void close() {
        mCloser.close();
    }

    private record Fakes(Platform platform, Leases leases, GenerationPort generation)
            implements Component {

        @Override
        public String pluginName() {
            return "fakes";
        }

        @Override
        public Set<Class<?>> requires() {
            return Set.of();
        }

        @Override
        public Set<Class<?>> provides() {
            return Set.of(
                    Platform.class,
                    Leases.class,
                    GenerationPort.class,
                    Authenticator.class,
                    CallPort.class,
                    CallDrain.class);
        }

        @Override
        public void install(ComponentContext context) {
            context.provide(Platform.class, platform);
            context.provide(Leases.class, leases);
            context.provide(GenerationPort.class, generation);
            context.provide(CallDrain.class, Mono::empty);
            context.provide(
                    CallPort.class,
                    call -> Mono.just(Either.left(Refusal.of(RefusalReason.NO_UPSTREAM))));
            context.provide(
                    Authenticator.class,
                    (authorization, route) ->
                            authorization
                                    .filter(value -> value.startsWith("Bearer team-"))
                                    .map(value -> new TeamName(value.substring(7)))
                                    .map(team -> caller(team, route.allows(team)))
                                    .getOrElse(Either.left(RefusalReason.KEY_MISSING)));
        }

        private static Either<RefusalReason, Caller> caller(TeamName team, boolean allowed) {
            return allowed
                    ? Either.right(new Caller(team, io.vavr.control.Option.some(new KeyId("key"))))
                    : Either.left(RefusalReason.TEAM_NOT_ALLOWED);
        }
    }
}
