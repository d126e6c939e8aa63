package org.fuchsialever.node.dispatch;

import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.node.upstream.UpstreamCall;
import org.fuchsialever.node.upstream.UpstreamException;
import org.fuchsialever.node.upstream.UpstreamResponsePart;
import org.reactivestreams.Subscription;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.BaseSubscriber;

/**
 * One attempt of an exchange. Requests one part at a time, so that back-pressure of the caller
 * reaches the upstream. The timeout runs only while a part is requested. State is guarded by the
 * monitor of the exchange's sink.
 */
final class Attempt extends BaseSubscriber<UpstreamResponsePart> {
    private final int mNumber;
    private final UpstreamCall mCall;
    private final ExchangeServices mServices;
    private final CallExchange mExchange;
    private final Object mLock;
    private final long mStartedAtNanos;
    private final Disposable.Swap mTimer = Disposables.swap();
    private long mFirstByteNanos = -1;
    private boolean mAwaitingPart;
    private boolean mTimeoutScheduled;
    private long mRequestedAtNanos;
    private long mRequestCount;
    private int mPromptTokens;
    private int mGeneratedTokens;
    private boolean mEnded;

    Attempt(
            int number,
            UpstreamCall call,
            ExchangeServices services,
            CallExchange exchange,
            Object lock) {
        mNumber = number;
        mCall = call;
        mServices = services;
        mExchange = exchange;
        mLock = lock;
        mStartedAtNanos = services.time().nanoTime();
    }

    int number() {
        return mNumber;
    }

    UpstreamId upstreamId() {
        return mCall.upstream().id();
    }

    int promptTokens() {
        return mPromptTokens;
    }

    int generatedTokens() {
        return mGeneratedTokens;
    }

    void start() {
        mServices.client().send(mCall).subscribe(this);
    }

    /** Requests the next part unless a request is outstanding. */
    void requestNext() {
        synchronized (mLock) {
            if (mAwaitingPart || mEnded) {
                return;
            }
            mAwaitingPart = true;
            mRequestCount++;
            mRequestedAtNanos = mServices.time().nanoTime();
            scheduleTimeout(timeoutNanos());
        }
        request(1);
    }

    /** Aborts the attempt: closes its connection and cancels the request at an engine. */
    void abort() {
        synchronized (mLock) {
            mEnded = true;
            mTimer.dispose();
        }
        cancel();
        if (mCall.kind() == UpstreamKind.ENGINE) {
            mServices.client().cancel(mCall.upstream(), mCall.id()).subscribe();
        }
    }

    @Override
    protected void hookOnSubscribe(Subscription subscription) {
        requestNext();
    }

    @Override
    protected void hookOnNext(UpstreamResponsePart part) {
        synchronized (mLock) {
            mAwaitingPart = false;
            if (mFirstByteNanos < 0) {
                mFirstByteNanos = mServices.time().nanoTime() - mStartedAtNanos;
                // The first-byte timeout may be longer than the progress timeout.
                mTimer.update(Disposables.disposed());
                mTimeoutScheduled = false;
            }
            if (part instanceof UpstreamResponsePart.EngineEvent event) {
                mGeneratedTokens += event.chunk().isDefined() ? 1 : 0;
                mPromptTokens = Math.max(mPromptTokens, event.promptTokens());
            }
            mExchange.handlePart(this, part);
        }
    }

    @Override
    protected void hookOnComplete() {
        end(AttemptResult.COMPLETED);
    }

    @Override
    protected void hookOnError(Throwable failure) {
        end(
                failure instanceof UpstreamException known
                        ? known.result()
                        : AttemptResult.CONNECTION_LOST);
    }

    /** Reports the end of the attempt; later calls have no effect. */
    void end(AttemptResult result) {
        synchronized (mLock) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            mTimer.dispose();
            long total = mServices.time().nanoTime() - mStartedAtNanos;
            mExchange.attemptEnded(
                    this,
                    new AttemptReport(
                            result, mPromptTokens, mGeneratedTokens, mFirstByteNanos, total));
        }
    }

    private long timeoutNanos() {
        boolean engine = mCall.kind() == UpstreamKind.ENGINE;
        if (mFirstByteNanos < 0) {
            return (engine
                            ? mServices.timeouts().engineFirstByte()
                            : mServices.timeouts().plainFirstByte())
                    .toNanos();
        }
        return (engine
                        ? mServices.timeouts().engineProgress()
                        : mServices.timeouts().plainProgress())
                .toNanos();
    }

    /** One timer serves many parts: if it fires early, it is rescheduled for the remaining time. */
    private void scheduleTimeout(long delayNanos) {
        if (!mTimeoutScheduled) {
            mTimeoutScheduled = true;
            mTimer.update(
                    mServices
                            .timers()
                            .schedule(this::checkTimeout, delayNanos, TimeUnit.NANOSECONDS));
        }
    }

    private void checkTimeout() {
        synchronized (mLock) {
            mTimeoutScheduled = false;
            if (mEnded || !mAwaitingPart) {
                return;
            }
            long remainingNanos = mRequestedAtNanos + timeoutNanos() - mServices.time().nanoTime();
            if (remainingNanos > 0) {
                scheduleTimeout(remainingNanos);
                return;
            }
        }
        long request = mRequestCount;
        mServices
                .client()
                .probe(mCall.upstream(), mCall.kind())
                .subscribe(alive -> handleProbeResult(request, alive));
    }

    private void handleProbeResult(long request, boolean alive) {
        mServices.meters().probeEnded(alive);
        mServices.ring().report(new DispatchEvent.UpstreamProbed(mCall.upstream().id(), alive));
        synchronized (mLock) {
            if (mEnded) {
                return;
            }
            if (!mAwaitingPart || request != mRequestCount) {
                if (mAwaitingPart) {
                    scheduleTimeout(timeoutNanos());
                }
                return;
            }
            end(AttemptResult.SILENT);
        }
        abort();
    }
}
