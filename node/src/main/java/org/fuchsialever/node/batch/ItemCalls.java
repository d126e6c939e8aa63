package org.fuchsialever.node.batch;

import io.vavr.control.Option;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fuchsialever.decisions.forward.ForwardCall;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.node.forward.ForwardCallHandler;
import org.fuchsialever.node.forward.ForwardPort;
import org.fuchsialever.node.trace.TraceLog;

/** The running calls of items and of their scoring, which follow the manifest in force. */
final class ItemCalls {
    /** Least time that an upstream is given for an item, also on a route without a limit. */
    private static final long MIN_TIME_LIMIT_MILLIS = 1_000;

    private final Supplier<Option<Manifest>> mManifest;
    private final ForwardPort mForward;
    private final TraceLog mTrace;
    private final Map<Key, RunningCall> mRunning = new ConcurrentHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param manifest returns the manifest in force
     */
    ItemCalls(Supplier<Option<Manifest>> manifest, ForwardPort forward, TraceLog trace) {
        mManifest = manifest;
        mForward = forward;
        mTrace = trace;
    }

    /** Returns the route of a call in the manifest in force. */
    Option<ForwardRoute> route(Routing routing) {
        return mManifest.get().flatMap(routing::routeIn);
    }

    /** Returns the time that upstreams are given for an item of a route, in milliseconds. */
    static long timeLimitMillis(ForwardRoute route) {
        return Math.max(MIN_TIME_LIMIT_MILLIS, route.abandonAfterMillis());
    }

    /** Starts a call. */
    void start(Key key, Routing routing, ForwardCall forwardCall, ForwardCallHandler handler) {
        mForward.submit(
                assigned -> {
                    ForwardCall numbered = forwardCall.withNumber(assigned);
                    mRunning.put(key, new RunningCall(assigned, numbered, handler, routing));
                    return numbered;
                },
                handler);
        // A manifest that came into force after the route was searched has not met the call.
        RunningCall started = mRunning.get(key);
        if (started != null) {
            mManifest.get().forEach(manifest -> reroute(manifest, key, started));
        }
    }

    /** Stops a call if it runs. */
    void stop(Key key) {
        RunningCall call = mRunning.remove(key);
        if (call != null) {
            mForward.cancel(call.number);
        }
    }

    /** Notes that a call has ended. */
    void ended(Key key) {
        mRunning.remove(key);
    }

    /** Passes on the run that generates the text of an item, if there is one. */
    void withGeneration(Key key, Consumer<ItemGenerationHandler> action) {
        RunningCall call = mRunning.get(key);
        if (call != null && call.handler instanceof ItemGenerationHandler handler) {
            action.accept(handler);
        }
    }

    /**
     * Applies a newer manifest to the running calls: those whose route has other traffic shares are
     * resubmitted, and later attempts of the others get the time that it allows.
     */
    void reroute(Manifest manifest) {
        mRunning.forEach((key, call) -> reroute(manifest, key, call));
    }

    private void reroute(Manifest manifest, Key key, RunningCall call) {
        Option<ForwardRoute> route = call.routing.routeIn(manifest);
        if (call.handler instanceof ItemGenerationHandler handler) {
            route.map(ItemCalls::timeLimitMillis).forEach(handler::setTimeLimit);
        }
        boolean moved = route.isEmpty() || !route.get().shares().equals(call.forwardCall.shares());
        if (moved && mRunning.remove(key, call) && mForward.cancel(call.number)) {
            resubmit(key, call, route);
        }
    }

    private void resubmit(Key key, RunningCall call, Option<ForwardRoute> route) {
        if (route.isEmpty()) {
            call.handler.refuse(ForwardRefusal.NO_UPSTREAM, 0);
            return;
        }
        mTrace.line("batch", "rerouted")
                .with("id", key.batch)
                .with("item", call.handler.requestId())
                .with("call", call.number)
                .write();
        ForwardCall moved = call.forwardCall.withShares(route.get().shares());
        start(key, call.routing, moved, call.handler);
    }

    /** Finds the route of a call in a manifest, the same way at its start and at each change. */
    @FunctionalInterface
    interface Routing {

        Option<ForwardRoute> routeIn(Manifest manifest);
    }

    /** Names an item of a submission by its index. */
    record Key(String batch, int item) {}

    private record RunningCall(
            long number, ForwardCall forwardCall, ForwardCallHandler handler, Routing routing) {}
}
