package org.fuchsialever.node.callers;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.fuchsialever.decisions.callers.CallerLimits;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.kernel.time.TimeSource;
import reactor.core.scheduler.Scheduler;

/**
 * The bounds on callers, from the settings, the process and the manifest.
 *
 * @param maxConnections connections of callers, 0 to derive them from descriptors and memory
 * @param descriptors descriptors of the process, 0 to ask the system
 * @param headMemoryPercent part of the maximum heap for the heads of requests
 * @param maxHeadBytes length up to which a head is read
 * @param headTimeout time for a head, at least
 * @param unreadTimeout time for which a caller may take nothing of a response
 */
public record CallerSettings(
        int maxConnections,
        int descriptors,
        int headMemoryPercent,
        int maxHeadBytes,
        Duration headTimeout,
        Duration unreadTimeout) {
    /** Holds unless the settings say otherwise. */
    public static final CallerSettings DEFAULTS =
            new CallerSettings(0, 0, 15, 64 * 1_024, Duration.ofSeconds(6), Duration.ofSeconds(15));

    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES = "Max open files";

    /** Where the system does not tell the limit of the process. */
    private static final int DEFAULT_DESCRIPTORS = 1_024;

    /** Files, the store, upstreams and peers have the other descriptors. */
    private static final int RESERVED_DESCRIPTORS = 200;

    private static final int DESCRIPTOR_DIVISOR = 2;

    /** Buffers and handlers of a connection, with a margin. */
    private static final int CONNECTION_BYTES = 32 * 1_024;

    private static final int MIN_CONNECTIONS = 16;
    private static final int MAX_COUNT = 1_000_000;
    private static final int MAX_PERCENT = 50;
    private static final int PERCENT = 100;

    /** Callers keep to the time of the manifest as they see it; the network adds to it. */
    private static final int HEAD_TIMEOUT_FACTOR = 2;

    /** A caller that takes nothing for so long has stopped reading. */
    private static final long UNREAD_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Reads the bounds from a section of the settings. */
    public static CallerSettings read(SettingsReader settings, String section) {
        return new CallerSettings(
                (int) settings.integer(section, "max-connections", 0, 0, MAX_COUNT),
                (int) settings.integer(section, "descriptors", 0, 0, MAX_COUNT),
                (int)
                        settings.integer(
                                section,
                                "head-memory-percent",
                                DEFAULTS.headMemoryPercent,
                                1,
                                MAX_PERCENT),
                (int) settings.size(section, "max-head", DEFAULTS.maxHeadBytes),
                settings.duration(section, "head-timeout", DEFAULTS.headTimeout),
                settings.duration(section, "unread-timeout", DEFAULTS.unreadTimeout));
    }

    /**
     * Returns the guard of all ports of an instance.
     *
     * @param manifest the manifest in force
     * @param responsesTight whether room for responses is short
     */
    public CallerGuard guard(
            Supplier<Option<Manifest>> manifest,
            BooleanSupplier responsesTight,
            TimeSource time,
            Scheduler timers,
            ClosingLog log,
            MeterRegistry meters) {
        int connections = connections();
        return new CallerGuard(
                () -> limits(connections, manifest.get()),
                Runtime.getRuntime().maxMemory() / PERCENT * headMemoryPercent,
                maxHeadBytes,
                () -> manifest.get().map(one -> one.limits().maxHeaderBytes()).getOrElse(0),
                responsesTight,
                time,
                timers,
                log,
                meters);
    }

    private CallerLimits limits(int connections, Option<Manifest> manifest) {
        long declaredMillis =
                manifest.map(one -> one.limits().headerTimeoutMillis()).getOrElse(0L)
                        * HEAD_TIMEOUT_FACTOR;
        return new CallerLimits(
                connections,
                Math.max(headTimeout.toNanos(), TimeUnit.MILLISECONDS.toNanos(declaredMillis)),
                unreadTimeout.toNanos(),
                UNREAD_GRACE_NANOS);
    }

    private int connections() {
        if (maxConnections > 0) {
            return maxConnections;
        }
        int open = descriptors > 0 ? descriptors : processDescriptors();
        long byMemory = Runtime.getRuntime().maxMemory() / CONNECTION_BYTES;
        long byDescriptors = (open - RESERVED_DESCRIPTORS) / DESCRIPTOR_DIVISOR;
        return (int) Math.max(MIN_CONNECTIONS, Math.min(byMemory, byDescriptors));
    }

    private static int processDescriptors() {
        try {
            return Files.readAllLines(PROCESS_LIMITS).stream()
                    .filter(line -> line.startsWith(OPEN_FILES))
                    .map(line -> line.substring(OPEN_FILES.length()).strip().split("\\s+")[0])
                    .filter(soft -> soft.matches("[0-9]{1,9}"))
                    .map(Integer::parseInt)
                    .findFirst()
                    .orElse(DEFAULT_DESCRIPTORS);
        } catch (IOException e) {
            return DEFAULT_DESCRIPTORS;
        }
    }
}
