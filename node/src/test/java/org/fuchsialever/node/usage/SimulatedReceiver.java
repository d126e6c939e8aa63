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
 * The receiver of reports, which checks no fencing number. A request takes effect up to the request
 * timeout after its sender checked its lease, as if the sender had been paused in between.
 */
final class SimulatedReceiver {
    final Map<String, String> reports = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    boolean down;

    /** Gives the delay between the check of the lease and the effect. */
    Supplier<Duration> delay = () -> Duration.ZERO;

    /** Gives whether the answer of a request is lost. */
    Supplier<Boolean> losesAnswer = () -> false;

    private final Map<String, Long> newestSender = new TreeMap<>();
    private final Timers delays;

    SimulatedReceiver(Timers delays) {
        this.delays = delays;
    }

    /** Returns the interface for an instance whose fencing number for a window is given. */
    UsageReportService seenBy(Function<String, LongSupplier> fencing) {
        return (window, report, stillHolding) ->
                Mono.defer(
                        () -> {
                            if (down || !stillHolding.getAsBoolean()) {
                                return failure(Effect.NONE);
                            }
                            long sender = fencing.apply(window).getAsLong();
                            return delays.after(delay.get())
                                    .then(Mono.defer(() -> accept(window, report, sender)));
                        });
    }

    private Mono<Boolean> accept(String window, byte[] report, long sender) {
        if (sender < newestSender.getOrDefault(window, 0L)) {
            violations.add(window + " arrived from a former holder after its successor's report");
        }
        newestSender.put(window, sender);
        String text = new String(report, StandardCharsets.UTF_8);
        String first = reports.putIfAbsent(window, text);
        if (first != null && !first.equals(text)) {
            violations.add(window + " was reported with other figures");
        }
        return losesAnswer.get() ? failure(Effect.UNKNOWN) : Mono.just(true);
    }

    private static Mono<Boolean> failure(Effect effect) {
        return Mono.error(new PlatformException(effect, "a simulated fault"));
    }
}
