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

    private final CallSpec mSpec;
    private final ResponseSink mSink;
    private final ExchangeServices mServices;
    private final TokenStreamAssembler mTokenStream = new TokenStreamAssembler();
    private @Nullable Attempt mCurrentAttempt;
    private final AttemptLog mAttemptLog = new AttemptLog();
    private int mTotalPromptTokens;
    private int mTotalGeneratedTokens;
    private int mResumedFrom;
    private long mProgressReportedNanos;
    private boolean mProgressReported;
    private boolean mEnqueued;
    private boolean mHeadSent;
    private boolean mCompleted;
    private int mAttemptsThatMayHaveRun;
    private boolean mFinished;

    CallExchange(CallSpec spec, ResponseSink sink, ExchangeServices services) {
        mSpec = spec;
        mSink = sink;
        mServices = services;
        sink.connect(this);
    }

    RequestId id() {
        return mSpec.request().id();
    }

    /**
     * Sends the call to the duty, unless the call has already ended.
     *
     * @return whether the call was sent to the duty
     */
    boolean enqueue() {
        synchronized (mSink) {
            if (mFinished) {
                return false;
            }
            mEnqueued = true;
            mServices.ring().send(new DispatchEvent.RequestArrived(mSpec.request()));
            return true;
        }
    }

    /**
     * Starts an attempt. It resumes after the last verified token, which may be later than the last
     * progress that was reported to the duty.
     */
    void startAttempt(int number, UpstreamSpec upstream) {
        Attempt attempt;
        synchronized (mSink) {
            if (mFinished) {
                return;
            }
            if (mAttemptsThatMayHaveRun > 0 && !mayRepeat()) {
                rejectRepeat(number);
                return;
            }
            mAttemptsThatMayHaveRun++;
            mResumedFrom = mTokenStream.begin(number, upstream.id());
            attempt =
                    new Attempt(
                            number,
                            mSpec.requestBuilder().build(number, upstream, mResumedFrom),
                            mServices,
                            this,
                            mSink);
            mCurrentAttempt = attempt;
        }
        attempt.start();
    }

    void cancelAttempt(int number) {
        Attempt attempt;
        synchronized (mSink) {
            attempt = mCurrentAttempt;
            if (attempt == null || attempt.number() != number) {
                return;
            }
            mCurrentAttempt = null;
            mAttemptLog.addCancelled(
                    attempt.upstreamId(), attempt.promptTokens(), attempt.generatedTokens());
        }
        attempt.abort();
    }

    /** Returns the record of the finished call, for usage and audit. */
    FinishedCall finishedCall(Outcome outcome, Option<RefusalReason> refusal) {
        synchronized (mSink) {
            return new FinishedCall(
                    id(),
                    new Caller(mSpec.request().team(), mSpec.key()),
                    mSpec.request().route().name(),
                    mAttemptLog.attempts(),
                    outcome,
                    refusal);
        }
    }

    /** Completes the response after its last part was written. */
    void finish() {
        synchronized (mSink) {
            if (!mFinished) {
                mFinished = true;
                mServices
                        .invariants()
                        .check(
                                Invariant.ANSWER_WHOLE_AND_OWN,
                                mCompleted,
                                () -> "request " + id() + " ended without a completed attempt");
                mSink.finish(
                        new ResponseSink.Summary(
                                mTokenStream.ranges(), mTotalPromptTokens, mTotalGeneratedTokens));
            }
        }
    }

    void refuse(Refusal refusal) {
        synchronized (mSink) {
            if (!mFinished) {
                mFinished = true;
                mSink.refuse(correctNotRun(refusal));
            }
        }
    }

    /** Refuses the call because its key was withdrawn; the duty cancels a running attempt. */
    void withdraw() {
        synchronized (mSink) {
            if (mFinished) {
                return;
            }
            refuse(
                    Refusal.of(
                            mEnqueued
                                    ? RefusalReason.KEY_WITHDRAWN_DURING_CALL
                                    : RefusalReason.KEY_WITHDRAWN));
            if (mEnqueued) {
                mServices.ring().send(new DispatchEvent.RequestCancelled(id()));
            }
        }
    }

    @Override
    public void requestMore() {
        Attempt attempt;
        synchronized (mSink) {
            attempt = mCurrentAttempt;
        }
        if (attempt != null) {
            attempt.requestNext();
        }
    }

    @Override
    public void callerDisconnected() {
        synchronized (mSink) {
            if (mFinished) {
                return;
            }
            mFinished = true;
            mServices.ring().send(new DispatchEvent.RequestCancelled(id()));
        }
    }

    /** Handles a part of an attempt; called with the monitor of the sink held. */
    void handlePart(Attempt attempt, UpstreamResponsePart part) {
        if (attempt != mCurrentAttempt || mFinished) {
            mServices.meters().latePart();
            return;
        }
        if (part instanceof UpstreamResponsePart.Head head) {
            if (!mHeadSent) {
                mHeadSent = true;
                mSink.writeHead(head);
            }
        } else if (part instanceof UpstreamResponsePart.Content content) {
            mSink.writeContent(content.bytes());
        } else if (part instanceof UpstreamResponsePart.EngineEvent event
                && !handleEvent(attempt, event)) {
            attempt.end(AttemptResult.MALFORMED_ANSWER);
            attempt.abort();
            return;
        }
        if (mSink.isTooLarge()) {
            attempt.end(AttemptResult.MALFORMED_ANSWER);
            attempt.abort();
        } else if (mSink.hasDemand()) {
            attempt.requestNext();
        }
    }

    /** Reports the end of an attempt; called with the monitor of the sink held. */
    void attemptEnded(Attempt attempt, AttemptReport report) {
        mServices.meters().attemptEnded(report.result());
        if (attempt != mCurrentAttempt) {
            return;
        }
        mCurrentAttempt = null;
        mCompleted = report.result() == AttemptResult.COMPLETED;
        if (report.result().outcome() == Outcome.NOT_RUN) {
            mAttemptsThatMayHaveRun--;
        }
        mAttemptLog.addEnded(attempt.upstreamId(), report);
        mTotalPromptTokens += report.promptTokens();
        mTotalGeneratedTokens += report.generatedTokens();
        mServices.ring().send(new DispatchEvent.AttemptEnded(id(), attempt.number(), report));
    }

    /** A resumable request may always be repeated; for all others the route decides. */
    private boolean mayRepeat() {
        return mSpec.request().resumable() || mSpec.request().route().repeatable();
    }

    private void rejectRepeat(int number) {
        mServices
                .invariants()
                .reportViolation(
                        Invariant.AT_MOST_ONCE, "attempt " + number + " of request " + id());
        AttemptReport report = new AttemptReport(AttemptResult.CONNECTION_LOST, 0, 0, -1, 0);
        mServices.ring().send(new DispatchEvent.AttemptEnded(id(), number, report));
    }

    /** Replaces a refusal that says "not run" although an attempt may have run. */
    private Refusal correctNotRun(Refusal refusal) {
        boolean saysNotRun = refusal.reason().outcome() == Outcome.NOT_RUN;
        if (!saysNotRun || mAttemptsThatMayHaveRun == 0) {
            return refusal;
        }
        mServices
                .invariants()
                .reportViolation(
                        Invariant.NOT_RUN_IS_TRUE,
                        "refusal " + refusal.reason().code() + " of request " + id());
        return Refusal.of(RefusalReason.ANSWER_LOST);
    }

    /** Returns false if the version or origin of the event's token cannot be verified. */
    private boolean handleEvent(Attempt attempt, UpstreamResponsePart.EngineEvent event) {
        if (event.chunk().isEmpty()) {
            // Each attempt repeats the opening events that carry no token.
            if (mTokenStream.nextToken() == 0 || event.completionTokens() >= 0) {
                mSink.writeEvent(withTotals(event));
            }
            return true;
        }
        ChunkVerdict verdict = mTokenStream.accept(attempt.number(), event.chunk().get());
        if (verdict == ChunkVerdict.DELIVER) {
            mSink.writeEvent(withTotals(event));
            reportProgress(attempt);
        } else {
            mServices.meters().chunkDropped(verdict);
        }
        return !verdict.endsAttempt();
    }

    /** Sets the total of all attempts, because an engine counts only the tokens of its attempt. */
    private UpstreamResponsePart.EngineEvent withTotals(UpstreamResponsePart.EngineEvent event) {
        if (mResumedFrom > 0
                && event.completionTokens() >= 0
                && event.document().get("usage") instanceof ObjectNode usage) {
            usage.put("completion_tokens", mTokenStream.nextToken());
        }
        return event;
    }

    private void reportProgress(Attempt attempt) {
        long now = mServices.time().nanoTime();
        if (!mProgressReported || now - mProgressReportedNanos >= PROGRESS_INTERVAL_NANOS) {
            mProgressReported = true;
            mProgressReportedNanos = now;
            mServices
                    .ring()
                    .report(
                            new DispatchEvent.AttemptProgressed(
                                    id(), attempt.number(), mTokenStream.nextToken()));
        }
    }
}
