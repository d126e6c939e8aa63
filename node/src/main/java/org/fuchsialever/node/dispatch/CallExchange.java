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
 * One call in progress: passes the certain parts of its successive attempts to the target and
 * reports progress and ends to the dispatch duty.
 */
final class CallExchange implements AnswerTarget.Source {
    private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final CallWork work;
    private final AnswerTarget target;
    private final ExchangeServices services;
    private final TokenStreamAssembler splice = new TokenStreamAssembler();
    private @Nullable Attempt current;
    private final AttemptLog log = new AttemptLog();
    private int earlierPromptTokens;
    private int earlierGeneratedTokens;
    private int resumedFrom;
    private long progressReportedNanos;
    private boolean progressReported;
    private boolean arrived;
    private boolean begun;
    private boolean completed;
    private int attemptsThatMayHaveRun;
    private boolean finished;

    CallExchange(CallWork work, AnswerTarget target, ExchangeServices services) {
        this.work = work;
        this.target = target;
        this.services = services;
        target.connect(this);
    }

    RequestId id() {
        return work.request().id();
    }

    /**
     * Tells the duty of the call, unless the call was ended before.
     *
     * @return whether the duty was told
     */
    boolean arrive() {
        synchronized (target) {
            if (finished) {
                return false;
            }
            arrived = true;
            services.ring().send(new DispatchEvent.RequestArrived(work.request()));
            return true;
        }
    }

    /**
     * Starts an attempt. It continues from the last certain token, which may be further than the
     * token that the duty knows of.
     */
    void start(int number, UpstreamSpec upstream) {
        Attempt attempt;
        synchronized (target) {
            if (finished) {
                return;
            }
            if (attemptsThatMayHaveRun > 0 && !mayRepeat()) {
                refuseToRepeat(number);
                return;
            }
            attemptsThatMayHaveRun++;
            resumedFrom = splice.begin(number, upstream.id());
            attempt =
                    new Attempt(
                            number,
                            work.attempts().build(number, upstream, resumedFrom),
                            services,
                            this,
                            target);
            current = attempt;
        }
        attempt.start();
    }

    void cancelAttempt(int number) {
        Attempt attempt;
        synchronized (target) {
            attempt = current;
            if (attempt == null || attempt.number() != number) {
                return;
            }
            current = null;
            log.cancelled(attempt.upstreamId(), attempt.promptTokens(), attempt.generatedTokens());
        }
        attempt.stop();
    }

    /** Describes the call after its end, for usage and audit. */
    FinishedCall finishedCall(Outcome outcome, Option<RefusalReason> refusal) {
        synchronized (target) {
            return new FinishedCall(
                    id(),
                    new Caller(work.request().team(), work.key()),
                    work.request().route().name(),
                    log.attempts(),
                    outcome,
                    refusal);
        }
    }

    /** Ends the call after its last part has been passed on. */
    void finish() {
        synchronized (target) {
            if (!finished) {
                finished = true;
                services.invariants()
                        .check(
                                Invariant.ANSWER_WHOLE_AND_OWN,
                                completed,
                                () -> "request " + id() + " ended without a completed attempt");
                target.finish(
                        new AnswerTarget.Summary(
                                splice.ranges(), earlierPromptTokens, earlierGeneratedTokens));
            }
        }
    }

    void refuse(Refusal refusal) {
        synchronized (target) {
            if (!finished) {
                finished = true;
                target.refuse(truthful(refusal));
            }
        }
    }

    /** Ends the call because its key was withdrawn; the duty cancels the work. */
    void withdraw() {
        synchronized (target) {
            if (finished) {
                return;
            }
            refuse(
                    Refusal.of(
                            arrived
                                    ? RefusalReason.KEY_WITHDRAWN_DURING_CALL
                                    : RefusalReason.KEY_WITHDRAWN));
            if (arrived) {
                services.ring().send(new DispatchEvent.RequestCancelled(id()));
            }
        }
    }

    @Override
    public void more() {
        Attempt attempt;
        synchronized (target) {
            attempt = current;
        }
        if (attempt != null) {
            attempt.next();
        }
    }

    @Override
    public void left() {
        synchronized (target) {
            if (finished) {
                return;
            }
            finished = true;
            services.ring().send(new DispatchEvent.RequestCancelled(id()));
        }
    }

    /** Takes a part of an attempt; called with the monitor of the target. */
    void pass(Attempt attempt, UpstreamResponsePart part) {
        if (attempt != current || finished) {
            services.meters().latePart();
            return;
        }
        if (part instanceof UpstreamResponsePart.Head head) {
            if (!begun) {
                begun = true;
                target.head(head);
            }
        } else if (part instanceof UpstreamResponsePart.Content content) {
            target.content(content.bytes());
        } else if (part instanceof UpstreamResponsePart.EngineEvent event
                && !passEvent(attempt, event)) {
            attempt.end(AttemptResult.MALFORMED_ANSWER);
            attempt.stop();
            return;
        }
        if (target.wantsMore()) {
            attempt.next();
        }
    }

    /** Reports the end of an attempt; called with the monitor of the target. */
    void ended(Attempt attempt, AttemptReport report) {
        services.meters().ended(report.result());
        if (attempt != current) {
            return;
        }
        current = null;
        completed = report.result() == AttemptResult.COMPLETED;
        if (report.result().outcome() == Outcome.NOT_RUN) {
            attemptsThatMayHaveRun--;
        }
        log.ended(attempt.upstreamId(), report);
        earlierPromptTokens += report.promptTokens();
        earlierGeneratedTokens += report.generatedTokens();
        services.ring().send(new DispatchEvent.AttemptEnded(id(), attempt.number(), report));
    }

    /** Generations run again with every resumption; only other requests depend on their route. */
    private boolean mayRepeat() {
        return work.request().resumable() || work.request().route().repeatable();
    }

    private void refuseToRepeat(int number) {
        services.invariants()
                .reportViolation(
                        Invariant.AT_MOST_ONCE, "attempt " + number + " of request " + id());
        AttemptReport report = new AttemptReport(AttemptResult.CONNECTION_LOST, 0, 0, -1, 0);
        services.ring().send(new DispatchEvent.AttemptEnded(id(), number, report));
    }

    /** A refusal must not say "not run" if an attempt may have run. */
    private Refusal truthful(Refusal refusal) {
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

    /** Returns false if the provenance of the event's token is in doubt. */
    private boolean passEvent(Attempt attempt, UpstreamResponsePart.EngineEvent event) {
        if (event.chunk().isEmpty()) {
            // Opening events without a token are repeated by each attempt.
            if (splice.nextToken() == 0 || event.completionTokens() >= 0) {
                target.event(withTotals(event));
            }
            return true;
        }
        ChunkVerdict verdict = splice.accept(attempt.number(), event.chunk().get());
        if (verdict == ChunkVerdict.DELIVER) {
            target.event(withTotals(event));
            reportProgress(attempt);
        } else {
            services.meters().dropped(verdict);
        }
        return !verdict.endsAttempt();
    }

    /** The engine of a resumed attempt counts only its own tokens; the caller is told of all. */
    private UpstreamResponsePart.EngineEvent withTotals(UpstreamResponsePart.EngineEvent event) {
        if (resumedFrom > 0
                && event.completionTokens() >= 0
                && event.document().get("usage") instanceof ObjectNode usage) {
            usage.put("completion_tokens", splice.nextToken());
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
                                    id(), attempt.number(), splice.nextToken()));
        }
    }
}
