package org.fuchsialever.node.usage;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import org.fuchsialever.services.Timers;
import org.fuchsialever.services.UsageReportService;
import reactor.core.publisher.Mono;

/**
 * The receiver of reports, which does not check fencing tokens. A request takes effect up to the
 * request timeout after its sender checked its lease, as if the sender had been paused in between.
 */
final class SimulatedReceiver {
    final Map<String, String> mReports = new TreeMap<>();
    final List<String> mViolations = new ArrayList<>();
    boolean mDown;

    /** Supplies the delay between the check of the lease and the effect. */
    Supplier<Duration> mDelay = () -> Duration.ZERO;

    /** Supplies whether the response to a request is lost. */
    Supplier<Boolean> mLosesResponse = () -> false;

    private final Map<String, Long> mHighestFencing = new TreeMap<>();
    private final Timers mTimers;

    SimulatedReceiver(Timers timers) {
        mTimers = timers;
    }

    /** Returns the service as used by an instance with the given fencing tokens, by window. */
    UsageReportService serviceFor(Function<String, LongSupplier> fencing) {
        return (window, report, stillHolding) ->
                Mono.defer(
                        () -> {
                            if (mDown || !stillHolding.getAsBoolean()) {
                                return failure(Effect.NONE);
                            }
                            long token = fencing.apply(window).getAsLong();
                            return mTimers.after(mDelay.get())
                                    .then(Mono.defer(() -> accept(window, report, token)));
                        });
    }

    private Mono<Boolean> accept(String window, byte[] report, long token) {
        if (token < mHighestFencing.getOrDefault(window, 0L)) {
            mViolations.add(
                    window + " arrived from a previous holder after its successor's report");
        }
        mHighestFencing.put(window, token);
        String text = new String(report, StandardCharsets.UTF_8);
        String first = mReports.putIfAbsent(window, text);
        if (first != null && !first.equals(text)) {
            mViolations.add(window + " was reported with different counts");
        }
        return mLosesResponse.get() ? failure(Effect.UNKNOWN) : Mono.just(true);
    }

    private static Mono<Boolean> failure(Effect effect) {
        return Mono.error(new PlatformException(effect, "a simulated fault"));
    }
}
