package org.fuchsialever.cli.platform;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.UUID;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.fuchsialever.node.platform.PlatformComponent;
import org.fuchsialever.services.CommitRetrier;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.RetryBackoff;
import org.fuchsialever.services.Timers;
import reactor.core.publisher.Mono;

/** The connection to the platform during one run of a command. */
public final class PlatformSession implements AutoCloseable {
    /** Bounds calls that never complete; the adapter applies shorter timeouts of its own. */
    private static final Duration CALL_TIMEOUT = Duration.ofMinutes(1);

    private static final RetryBackoff RETRY_BACKOFF =
            new RetryBackoff(Duration.ofMillis(100), Duration.ofSeconds(1), 5);

    private final Closer mCloser;
    private final Platform mPlatform;
    private final CommitRetrier mCommits;
    private final String mWriterId = "operator-" + UUID.randomUUID();

    private PlatformSession(Closer closer, Platform platform, MeterRegistry meters) {
        mCloser = closer;
        mPlatform = platform;
        mCommits =
                new CommitRetrier(
                        platform.tables(),
                        RETRY_BACKOFF,
                        Timers.realTime(),
                        new SplittableRandom(),
                        meters);
    }

    /** Opens a session with a configured component. */
    static PlatformSession open(PlatformComponent component, SettingsReader settings) {
        Closer closer = new Closer();
        MeterRegistry meters = new SimpleMeterRegistry();
        ComponentContext context =
                new ComponentContext(
                        settings, closer, SystemTimeSource.INSTANCE, System.nanoTime(), meters);
        component.install(context);
        return new PlatformSession(closer, context.require(Platform.class), meters);
    }

    /** Returns the platform. */
    public Platform platform() {
        return mPlatform;
    }

    /** Returns the retrier that resolves commits whose outcome is unknown. */
    public CommitRetrier commitRetrier() {
        return mCommits;
    }

    /** Returns the writer ID of the commits of this run. */
    public String writerId() {
        return mWriterId;
    }

    /** Waits for a call and returns its result; throws its failure, or an exception on timeout. */
    public static <T> T await(Mono<T> call) {
        return call.blockOptional(CALL_TIMEOUT).orElseThrow();
    }

    @Override
    public void close() {
        mCloser.close();
    }
}
