package org.fuchsialever.standins;

import java.time.Duration;
import reactor.core.publisher.Mono;

/** Activates and ends the faults of one stand-in. */
public final class FaultControl {
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private final StandInServer mServer;
    private Fault mCurrent = new Fault(FaultMode.NONE, Duration.ZERO, UNLIMITED);

    FaultControl(StandInServer server) {
        mServer = server;
    }

    /** Sets a fault until another one is set, and returns when it is active. */
    public void set(FaultMode mode) {
        set(mode, Duration.ZERO, UNLIMITED);
    }

    /**
     * Sets a fault and returns when it is active. Must not be called from an event loop.
     *
     * @param mode the fault
     * @param duration the delay of {@code SLOW}, or the time after which {@code DOWN} ends
     *     automatically (zero: never)
     * @param count the number of requests (for {@code SILENT}: connections) affected
     */
    public void set(FaultMode mode, Duration duration, int count) {
        activate(mode, duration, count).block();
    }

    /** Returns the active fault. */
    public synchronized FaultMode mode() {
        return mCurrent.mode;
    }

    Mono<Void> activate(FaultMode mode, Duration duration, int count) {
        int limit = count <= 0 ? UNLIMITED : count;
        Fault fault = new Fault(mode, duration, limit);
        return Mono.defer(
                () -> {
                    replace(fault);
                    if (mode == FaultMode.DOWN && !duration.isZero()) {
                        Mono.delay(duration).then(Mono.defer(() -> end(fault))).subscribe();
                    }
                    return mode.activate(mServer, limit);
                });
    }

    Mono<Void> serve(StandInExchange exchange) {
        Fault fault = next();
        return fault.mode.serve(exchange, fault.duration);
    }

    private synchronized void replace(Fault fault) {
        mCurrent = fault;
    }

    private synchronized Fault next() {
        Fault fault = mCurrent;
        mCurrent = fault.afterOneRequest();
        return fault;
    }

    private synchronized Mono<Void> end(Fault fault) {
        return mCurrent == fault
                ? activate(FaultMode.NONE, Duration.ZERO, UNLIMITED)
                : Mono.empty();
    }

    private record Fault(FaultMode mode, Duration duration, int count) {

        Fault afterOneRequest() {
            if (!mode.isLimitedByCount() || count == UNLIMITED) {
                return this;
            }
            return count > 1
                    ? new Fault(mode, duration, count - 1)
                    : new Fault(FaultMode.NONE, Duration.ZERO, UNLIMITED);
        }
    }
}
