package org.fuchsialever.cli.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/** Engines and plain services that run requests, fail and leave. */
final class SoakUpstreams {
    static final int SLOTS = 4;
    private static final long TOKEN_NANOS = 20 * SoakTimeline.MILLI;
    private static final long SILENCE_NANOS = 3 * SoakTimeline.SECOND;

    private final SoakTimeline timeline;
    private final RandomGenerator random;
    private final SoakChecker checker;
    private final Map<UpstreamId, Upstream> upstreams = new TreeMap<>();
    private long newestVersion = 1;
    int brokenPercent;
    int silentPercent;

    SoakUpstreams(SoakTimeline timeline, RandomGenerator random, SoakChecker checker) {
        this.timeline = timeline;
        this.random = random;
        this.checker = checker;
    }

    void add(UpstreamId id) {
        Upstream upstream = new Upstream();
        upstream.version = newestVersion;
        upstreams.put(id, upstream);
    }

    /** Ends the process of an upstream with all its requests. */
    void crash(UpstreamId id) {
        Upstream upstream = find(id);
        upstream.up = false;
        upstream.start++;
        upstream.running = 0;
    }

    void restart(UpstreamId id) {
        Upstream upstream = find(id);
        upstream.up = true;
        upstream.version = newestVersion;
    }

    /** Loads a weight version on all upstreams, one after the other within a second. */
    void load(long version) {
        newestVersion = version;
        for (Upstream upstream : upstreams.values()) {
            timeline.after(
                    random.nextLong(SoakTimeline.SECOND),
                    () -> upstream.version = Math.max(upstream.version, version));
        }
    }

    void leave(UpstreamId id) {
        find(id).leaving = true;
    }

    /** Returns the upstreams whose process runs. */
    List<UpstreamId> running() {
        return upstreams.keySet().stream().filter(this::isUp).toList();
    }

    boolean isUp(UpstreamId id) {
        return find(id).up;
    }

    LoadReport report(UpstreamId id) {
        Upstream upstream = find(id);
        return new LoadReport(
                upstream.running,
                0,
                SLOTS,
                new WeightVersion(upstream.version),
                id + "-" + upstream.start,
                upstream.leaving,
                SoakTimeline.MILLI);
    }

    /** Sends a request of an instance to an upstream. */
    void send(SoakCall call, DispatchAction.StartAttempt action, SoakInstance caller) {
        Upstream upstream = find(action.upstream().id());
        if (!upstream.up) {
            end(call, action, caller, AttemptResult.NOT_CONNECTED, 0);
            return;
        }
        timeline.after(
                random.nextLong(1, 5) * SoakTimeline.MILLI,
                () -> receive(upstream, call, action, caller));
    }

    private void receive(
            Upstream upstream,
            SoakCall call,
            DispatchAction.StartAttempt action,
            SoakInstance caller) {
        if (!upstream.up) {
            end(call, action, caller, AttemptResult.CONNECTION_LOST, 0);
        } else if (upstream.running >= SLOTS) {
            end(call, action, caller, AttemptResult.NOT_ADMITTED, 0);
        } else {
            checker.ran(call);
            upstream.running++;
            Run run = new Run(upstream, upstream.start, call, action, caller);
            int rest = call.plain ? 1 : call.tokens - action.resumeFrom();
            boolean silent = random.nextInt(100) < silentPercent;
            boolean broken = random.nextInt(100) < brokenPercent;
            int stopAfter = silent || broken ? random.nextInt(rest + 1) : Integer.MAX_VALUE;
            run.next(0, stopAfter, silent ? AttemptResult.SILENT : failure());
        }
    }

    private AttemptResult failure() {
        return switch (random.nextInt(3)) {
            case 0 -> AttemptResult.CONNECTION_LOST;
            case 1 -> AttemptResult.UPSTREAM_ERROR;
            default -> AttemptResult.MALFORMED_ANSWER;
        };
    }

    private void end(
            SoakCall call,
            DispatchAction.StartAttempt action,
            SoakInstance caller,
            AttemptResult result,
            int tokens) {
        timeline.after(SoakTimeline.MILLI, () -> caller.attemptEnded(call, action, result, tokens));
    }

    private Upstream find(UpstreamId id) {
        Upstream upstream = upstreams.get(id);
        if (upstream == null) {
            throw new IllegalStateException("a request was sent to " + id + ", which is not known");
        }
        return upstream;
    }

    private static final class Upstream {
        private boolean up = true;
        private boolean leaving;
        private int running;
        private int start;
        private long version;
    }

    private final class Run {
        private final Upstream upstream;
        private final int start;
        private final SoakCall call;
        private final DispatchAction.StartAttempt action;
        private final SoakInstance caller;

        Run(
                Upstream upstream,
                int start,
                SoakCall call,
                DispatchAction.StartAttempt action,
                SoakInstance caller) {
            this.upstream = upstream;
            this.start = start;
            this.call = call;
            this.action = action;
            this.caller = caller;
        }

        /** Generates one token, or ends the answer in the given way when its time has come. */
        void next(int generated, int stopAfter, AttemptResult failure) {
            if (upstream.start != start) {
                end(call, action, caller, AttemptResult.CONNECTION_LOST, generated);
            } else if (caller.hasGivenUp(call, action.attempt())) {
                upstream.running--;
            } else if (generated >= stopAfter) {
                upstream.running--;
                long delay = failure == AttemptResult.SILENT ? SILENCE_NANOS : 0;
                timeline.after(delay, () -> end(call, action, caller, failure, generated));
            } else if (action.resumeFrom() + generated >= call.tokens) {
                upstream.running--;
                end(call, action, caller, AttemptResult.COMPLETED, generated);
            } else {
                timeline.after(
                        TOKEN_NANOS + random.nextLong(TOKEN_NANOS),
                        () -> {
                            if (upstream.start != start) {
                                next(generated, stopAfter, failure);
                                return;
                            }
                            SoakCall.Token token =
                                    new SoakCall.Token(upstream.version, action.upstream().id());
                            call.generated(action.resumeFrom() + generated, token);
                            caller.token(call, action, generated, token);
                            next(generated + 1, stopAfter, failure);
                        });
            }
        }
    }
}
