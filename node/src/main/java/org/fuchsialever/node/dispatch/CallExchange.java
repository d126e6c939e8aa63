package org.fuchsialever.node.dispatch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.dispatch.stream.ChunkVerdict;
import org.fuchsialever.decisions.dispatch.stream.TokenStreamAssembler;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.Caller;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.node.upstream.UpstreamResponsePart;
import org.jspecify.annotations.Nullable;

/**
 * One call in progress: writes the verified parts of its successive attempts to the sink and
 * reports their progress and end to the dispatch duty.
 */
final class CallExchange implements ResponseSink.Source {
    private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final CallSpec spec;
    private final ResponseSink sink;
    private final ExchangeServices services;
    private final TokenStreamAssembler tokenStream = new TokenStreamAssembler();
    private @Nullable Attempt currentAttempt;
    private final AttemptLog attemptLog = new AttemptLog();
    private int totalPromptTokens;
    private int totalGeneratedTokens;
    private int resumedFrom;
    private long progressReportedNanos;
    private boolean progressReported;
    private boolean enqueued;
    private boolean headSent;
    private boolean completed;
    private int attemptsThatMayHaveRun;
    private boolean finished;

    CallExchange(CallSpec spec, ResponseSink sink, ExchangeServices services) {
        this.spec = spec;
        this.sink = sink;
        this.services = services;
        sink.connect(this);
    }

    RequestId id() {
        return spec.request().id();
    }

    /**
     * Sends the call to the duty, unless the call has already ended.
     *
     * @return whether the call was sent to the duty
     */
    boolean enqueue() {
        synchronized (sink) {
            if (finished) {
                return false;
            }
            enqueued = true;
            services.ring().send(new DispatchEvent.RequestArrived(spec.request()));
            return true;
        }
    }

    /**
     * Starts an attempt. It resumes after the last verified token, which may be later than the last
     * progress that was reported to the duty.
     */
    void startAttempt(int number, UpstreamSpec upstream) {
        Attempt attempt;
        synchronized (sink) {
            if (finished) {
                return;
            }
            if (attemptsThatMayHaveRun > 0 && !mayRepeat()) {
                rejectRepeat(number);
                return;
            }
            attemptsThatMayHaveRun++;
            resumedFrom = tokenStream.begin(number, upstream.id());
            attempt =
                    new Attempt(
                            number,
                            spec.requestBuilder().build(number, upstream, resumedFrom),
                            services,
                            this,
                            sink);
            currentAttempt = attempt;
        }
        attempt.start();
    }

    void cancelAttempt(int number) {
        Attempt attempt;
        synchronized (sink) {
            attempt = currentAttempt;
            if (attempt == null || attempt.number() != number) {
                return;
            }
            currentAttempt = null;
            attemptLog.addCancelled(
                    attempt.upstreamId(), attempt.promptTokens(), attempt.generatedTokens());
        }
        attempt.abort();
    }

    /** Returns the record of the finished call, for usage and audit. */
    FinishedCall finishedCall(Outcome outcome, Option<RefusalReason> refusal) {
        synchronized (sink) {
            return new FinishedCall(
                    id(),
                    new Caller(spec.request().team(), spec.key()),
                    spec.request().route().name(),
                    attemptLog.attempts(),
                    outcome,
                    refusal);
        }
    }

    /** Completes the response after its last part was written. */
    void finish() {
        synchronized (sink) {
            if (!finished) {
                finished = true;
                services.invariants()
                        .check(
                                Invariant.ANSWER_WHOLE_AND_OWN,
                                completed,
                                () -> "request " + id() + " ended without a completed attempt");
                sink.finish(
                        new ResponseSink.Summary(
                                tokenStream.ranges(), totalPromptTokens, totalGeneratedTokens));
            }
        }
    }

    void refuse(Refusal refusal) {
        synchronized (sink) {
            if (!finished) {
                finished = true;
                sink.refuse(correctNotRun(refusal));
            }
        }
    }

    /** Refuses the call because its key was withdrawn; the duty cancels a running attempt. */
    void withdraw() {
        synchronized (sink) {
            if (finished) {
                return;
            }
            refuse(
                    Refusal.of(
                            enqueued
                                    ? RefusalReason.KEY_WITHDRAWN_DURING_CALL
                                    : RefusalReason.KEY_WITHDRAWN));
            if (enqueued) {
                services.ring().send(new DispatchEvent.RequestCancelled(id()));
            }
        }
    }

    @Override
    public void requestMore() {
        Attempt attempt;
        synchronized (sink) {
            attempt = currentAttempt;
        }
        if (attempt != null) {
            attempt.requestNext();
        }
    }

    @Override
    public void callerDisconnected() {
        synchronized (sink) {
            if (finished) {
                return;
            }
            finished = true;
            services.ring().send(new DispatchEvent.RequestCancelled(id()));
        }
    }

    /** Handles a part of an attempt; called with the monitor of the sink held. */
    void handlePart(Attempt attempt, UpstreamResponsePart part) {
        if (attempt != currentAttempt || finished) {
            services.meters().latePart();
            return;
        }
        if (part instanceof UpstreamResponsePart.Head head) {
            if (!headSent) {
                headSent = true;
                sink.writeHead(head);
            }
        } else if (part instanceof UpstreamResponsePart.Content content) {
            sink.writeContent(content.bytes());
        } else if (part instanceof UpstreamResponsePart.EngineEvent event
                && !handleEvent(attempt, event)) {
            attempt.end(AttemptResult.MALFORMED_ANSWER);
            attempt.abort();
            return;
        }
        if (sink.hasDemand()) {
            attempt.requestNext();
        }
    }

    /** Reports the end of an attempt; called with the monitor of the sink held. */
    void attemptEnded(Attempt attempt, AttemptReport report) {
        services.meters().attemptEnded(report.result());
        if (attempt != currentAttempt) {
            return;
        }
        currentAttempt = null;
        completed = report.result() == AttemptResult.COMPLETED;
        if (report.result().outcome() == Outcome.NOT_RUN) {
            attemptsThatMayHaveRun--;
        }
        attemptLog.addEnded(attempt.upstreamId(), report);
        totalPromptTokens += report.promptTokens();
        totalGeneratedTokens += report.generatedTokens();
        services.ring().send(new DispatchEvent.AttemptEnded(id(), attempt.number(), report));
    }

    /** A resumable request may always be repeated; for all others the route decides. */
    private boolean mayRepeat() {
        return spec.request().resumable() || spec.request().route().repeatable();
    }

    private void rejectRepeat(int number) {
        services.invariants()
                .reportViolation(
                        Invariant.AT_MOST_ONCE, "attempt " + number + " of request " + id());
        AttemptReport report = new AttemptReport(AttemptResult.CONNECTION_LOST, 0, 0, -1, 0);
        services.ring().send(new DispatchEvent.AttemptEnded(id(), number, report));
    }

    /** Replaces a refusal that says "not run" although an attempt may have run. */
    private Refusal correctNotRun(Refusal refusal) {
        boolean saysNotRun = refusal.reason().outcome() == Outcome.NOT_RUN;
        if (!saysNotRun || attemptsThatMayHaveRun == 0) {
            return refusal;
        }
        services.invariants()
                .reportViolation(
                        Invariant.NOT_RUN_IS_TRUE,
                        "refusal " + refusal.reason().code() + " of request " + id());
        return Refusal.of(RefusalReason.ANSWER_LOST);
    }

    /** Returns false if the version or origin of the event's token cannot be verified. */
    private boolean handleEvent(Attempt attempt, UpstreamResponsePart.EngineEvent event) {
        if (event.chunk().isEmpty()) {
            // Each attempt repeats the opening events that carry no token.
            if (tokenStream.nextToken() == 0 || event.completionTokens() >= 0) {
                sink.writeEvent(withTotals(event));
            }
            return true;
        }
        ChunkVerdict verdict = tokenStream.accept(attempt.number(), event.chunk().get());
        if (verdict == ChunkVerdict.DELIVER) {
            sink.writeEvent(withTotals(event));
            reportProgress(attempt);
        } else {
            services.meters().chunkDropped(verdict);
        }
        return !verdict.endsAttempt();
    }

    /** Sets the total of all attempts, because an engine counts only the tokens of its attempt. */
    private UpstreamResponsePart.EngineEvent withTotals(UpstreamResponsePart.EngineEvent event) {
        if (resumedFrom > 0
                && event.completionTokens() >= 0
                && event.document().get("usage") instanceof ObjectNode usage) {
            usage.put("completion_tokens", tokenStream.nextToken());
        }
        return event;
    }

    private void reportProgress(Attempt attempt) {
        long now = services.time().nanoTime();
        if (!progressReported || now - progressReportedNanos >= PROGRESS_INTERVAL_NANOS) {
            progressReported = true;
            progressReportedNanos = now;
            services.ring()
                    .report(
                            new DispatchEvent.AttemptProgressed(
                                    id(), attempt.number(), tokenStream.nextToken()));
        }
    }
}
