package org.fuchsialever.node.claims;

import java.time.Duration;
import java.util.Set;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.services.Platform;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Records claims of calls with an Idempotency-Key in the table service. */
public final class ClaimsComponent implements Component {
    private static final String SECTION = "limits";
    private static final long DEFAULT_MAX_ROW_BYTES = 16 * 1_024;
    private static final long DEFAULT_MAX_OBJECT_BYTES = 1_024 * 1_024;
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);

    private OutcomeStore.Limits mLimits =
            new OutcomeStore.Limits(
                    (int) DEFAULT_MAX_ROW_BYTES, (int) DEFAULT_MAX_OBJECT_BYTES, DEFAULT_TIMEOUT);

    @Override
    public String pluginName() {
        return "claims";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(Platform.class, ClaimGate.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of();
    }

    @Override
    public void configure(SettingsReader settings) {
        mLimits =
                new OutcomeStore.Limits(
                        (int) settings.size(SECTION, "claim-row-body", DEFAULT_MAX_ROW_BYTES),
                        (int) settings.size(SECTION, "claim-object-body", DEFAULT_MAX_OBJECT_BYTES),
                        settings.duration(SECTION, "claim-timeout", DEFAULT_TIMEOUT));
    }

    @Override
    public void install(ComponentContext context) {
        Platform platform = context.require(Platform.class);
        Scheduler timers = Schedulers.parallel();
        OutcomeStore outcomes = new OutcomeStore(platform, mLimits, timers, context.meters());
        context.require(ClaimGate.class)
                .enableClaims(
                        new ClaimedCalls(
                                platform, outcomes, mLimits.timeout(), context.time(), timers));
    }
}
