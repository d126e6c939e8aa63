package org.fuchsialever.node.forward;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.ServingUpstreams;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.AttemptReport;
import org.fuchsialever.decisions.forward.ForwardAction;
import org.fuchsialever.decisions.forward.ForwardCall;
import org.fuchsialever.decisions.forward.ForwardCallKind;
import org.fuchsialever.decisions.forward.ForwardEvent;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.decisions.queue.Queueing;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.exchange.ConnectionUse;
import org.fuchsialever.services.exchange.ContentVerdict;
import org.fuchsialever.services.exchange.Exchange;
import org.fuchsialever.services.exchange.ExchangeClient;
import org.fuchsialever.services.exchange.ExchangeListener;
import org.fuchsialever.services.exchange.ExchangeOutcome;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.fuchsialever.services.exchange.ResponseMatch;
import org.fuchsialever.services.hosted.UpstreamResponseHead;
import org.jspecify.annotations.Nullable;

/** Executes the actions of the forward duty: sends attempts and reports outcomes. */
final class ForwardRunner implements ActionSink<ForwardAction>, ForwardPort {
    private static final String PART = "forward";

    /** Interval at which the pace of a stream is reported. */
    private static final long PACE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Fewer events would make the pace depend on single pauses. */
    private static final int MIN_PACE_EVENTS = 3;

    /** The time to the connection of an attempt that got none. */
    private static final long NOT_SENT = -1;

    /** The connection of an attempt that got none. */
    private static final ConnectionUse NO_CONNECTION = new ConnectionUse(0, 0);

    private final ExchangeClient mClient;
    private final Inbox<ForwardEvent> mInbox;
    private final RepeatedOffers mOffers;
    private final TimeSource mTime;
    private final TraceLog mTrace;
    private final MeterRegistry mMeters;
    private final ResponseMemory mMemory;
    private final EngineReports mReports;
    private final Queueing mQueueing;
    private final DomainTrace mDomains;
    private final LongSupplier mListAgeMillis;
    private volatile ServingUpstreams mServing = ServingUpstreams.none();
    private final AtomicLong mLastNumber = new AtomicLong();
    private final Map<Long, AcceptedCall> mAccepted = new ConcurrentHashMap<>();
    private final Set<Long> mBeingSubmitted = ConcurrentHashMap.newKeySet();
    private final QueueTrace mQueues;
    private final Set<String> mFairServices = ConcurrentHashMap.newKeySet();
    private final Map<ForwardCallKind, AtomicInteger> mInProgress =
            new EnumMap<>(ForwardCallKind.class);
    private final Map<AttemptKey, Exchange> mExchanges = new ConcurrentHashMap<>();
    private final CopyOnWriteArrayList<UsageListener> mUsageListeners =
            new CopyOnWriteArrayList<>();

    ForwardRunner(
            ExchangeClient client,
            Inbox<ForwardEvent> inbox,
            TimeSource time,
            TraceLog trace,
            MeterRegistry meters,
            ResponseMemory memory,
            Queueing queueing,
            DomainTrace domains,
            LongSupplier listAgeMillis) {
        mClient = client;
        mQueueing = queueing;
        mInbox = inbox;
        mOffers = new RepeatedOffers(inbox, client.loop());
        mTime = time;
        mTrace = trace;
        mMeters = meters;
        mQueues = new QueueTrace(trace, meters);
        mMemory = memory;
        mReports = new EngineReports(time);
        mDomains = domains;
        mListAgeMillis = listAgeMillis;
        for (ForwardCallKind kind : ForwardCallKind.values()) {
            mInProgress.put(kind, new AtomicInteger());
        }
    }

    /** Notes bytes that arrived on a connection on which no request waited. */
    void noteIdleBytes(String address, ConnectionUse use) {
        mTrace.line(PART, "bytes-while-idle")
                .with("address", address)
                .with("connection", use.connection())
                .with("exchanges", use.earlierExchanges())
                .write();
    }

    /** Passes a changed list of upstreams on. */
    void noteUpstreams(List<FleetUpstream> upstreams) {
        mOffers.offer(new ForwardEvent.FleetChanged(upstreams));
    }

    EngineReports reports() {
        return mReports;
    }

    void addUsageListener(UsageListener listener) {
        mUsageListeners.add(listener);
    }

    @Override
    public long submit(LongFunction<ForwardCall> callFactory, ForwardCallHandler handler) {
        long number = mLastNumber.incrementAndGet();
        mBeingSubmitted.add(number);
        ForwardCall call = callFactory.apply(number);
        AtomicInteger inProgress = inProgress(call.kind());
        mAccepted.put(number, new AcceptedCall(call.kind(), handler));
        boolean accepted =
                inProgress.incrementAndGet() <= call.kind().maxInProgress()
                        && mInbox.offer(new ForwardEvent.Arrived(call));
        boolean withdrawn = !mBeingSubmitted.remove(number);
        if (withdrawn) {
            remove(number);
            mInbox.offer(new ForwardEvent.Cancelled(number));
        } else if (!accepted) {
            remove(number);
            refuse(handler, ForwardRefusal.OVERLOADED, 1_000);
        }
        return number;
    }

    private AtomicInteger inProgress(ForwardCallKind kind) {
        return Objects.requireNonNull(mInProgress.get(kind));
    }

    /** Ends the tracking of a call and returns its handler, or null if it has ended before. */
    private @Nullable ForwardCallHandler remove(long number) {
        AcceptedCall call = mAccepted.remove(number);
        if (call == null) {
            return null;
        }
        inProgress(call.kind).decrementAndGet();
        return call.handler;
    }

    @Override
    public boolean cancel(long number) {
        if (mBeingSubmitted.remove(number)) {
            // The submission withdraws the call, as its arrival must come first in the ring.
            return true;
        }
        ForwardCallHandler handler = remove(number);
        if (handler == null) {
            return false;
        }
        mTrace.sampled(PART, "withdrawn").with("id", handler.requestId()).write();
        mInbox.offer(new ForwardEvent.Cancelled(number));
        return true;
    }

    @Override
    public boolean isQueuedFairly(String service) {
        return mQueueing.isFair(mFairServices.contains(service));
    }

    @Override
    public void weighTeams(Map<String, Double> weights) {
        mTrace.line(PART, "teams-weighed").with("weights", weights.toString()).write();
        mInbox.offer(new ForwardEvent.TeamsWeighed(weights));
    }

    @Override
    public int inProgress() {
        return mAccepted.size();
    }

    @Override
    public void emit(ForwardAction action) {
        if (action instanceof ForwardAction.Start start) {
            start(start);
        } else if (action instanceof ForwardAction.Cancel cancel) {
            Exchange exchange = mExchanges.get(new AttemptKey(cancel.number(), cancel.attempt()));
            if (exchange != null) {
                exchange.cancel();
            }
        } else if (action instanceof ForwardAction.Deliver deliver) {
            ForwardCallHandler handler = remove(deliver.number());
            if (handler != null) {
                handler.deliver(deliver.attempt());
            }
        } else if (action instanceof ForwardAction.NoteDomainShare note) {
            mDomains.noteShare(note.change());
        } else if (action instanceof ForwardAction.PublishServing published) {
            mServing = published.serving();
        } else if (action instanceof ForwardAction.NoteLeaving leaving) {
            mTrace.line(PART, "upstream-leaving")
                    .with("upstream", leaving.upstream().id())
                    .with("service", leaving.upstream().service())
                    .write();
        } else if (action instanceof ForwardAction.QueueFairly fair) {
            mFairServices.add(fair.service());
            mTrace.line(PART, "queueing-fairly").with("service", fair.service()).write();
        } else if (action instanceof ForwardAction.QueueLength length) {
            mQueues.note(length);
        } else if (action instanceof ForwardAction.Refuse refuse) {
            ForwardCallHandler handler = remove(refuse.number());
            if (handler != null) {
                refuse(handler, refuse.reason(), refuse.retryAfterMillis());
            }
        }
    }

    private void refuse(ForwardCallHandler handler, ForwardRefusal reason, long retryAfterMillis) {
        mMeters.counter("fuchsialever.forward.refusals", "reason", reason.name()).increment();
        mTrace.line(PART, "refused")
                .with("id", handler.requestId())
                .with("reason", reason.name())
                .with("notRun", String.valueOf(reason.isNotRun()))
                .with("retryAfterMillis", retryAfterMillis)
                .write();
        handler.refuse(reason, retryAfterMillis);
    }

    private void start(ForwardAction.Start start) {
        ForwardCall call = start.call();
        AttemptKey key = new AttemptKey(call.number(), start.attempt());
        AcceptedCall accepted = mAccepted.get(call.number());
        if (accepted == null) {
            // Cancelled while the duty decided; the event of the cancellation is in the ring.
            mInbox.offer(
                    new ForwardEvent.AttemptEnded(
                            key.number,
                            key.attempt,
                            AttemptReport.of(AttemptOutcome.NOT_CONNECTED)));
            return;
        }
        ForwardCallHandler handler = accepted.handler;
        long now = mTime.nanoTime();
        long remaining =
                call.deadlineNanos() == Duty.NO_TIMER
                        ? Long.MAX_VALUE
                        : TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - now);
        mMeters.counter("fuchsialever.forward.attempts", "reason", start.reason().name())
                .increment();
        mMeters.counter("fuchsialever.forward.choices", "basis", start.basis().name()).increment();
        if (start.attempt() == 1) {
            mMeters.timer("fuchsialever.forward.wait", "service", start.upstream().service())
                    .record(now - call.arrivedNanos(), TimeUnit.NANOSECONDS);
        }
        mDomains.countAttempt(start.upstream());
        mTrace.sampled(PART, "attempt")
                .with("id", handler.requestId())
                .with("attempt", start.attempt())
                .with("reason", start.reason().name())
                .with("upstream", start.upstream().id())
                .with("load", start.load())
                .with("basis", start.basis().name())
                .with("expectedMillis", TimeUnit.NANOSECONDS.toMillis(start.expectedNanos()))
                .with("waitedMillis", TimeUnit.NANOSECONDS.toMillis(now - call.arrivedNanos()))
                .with("listAgeMillis", mListAgeMillis.getAsLong())
                .write();
        Attempt attempt = new Attempt(key, handler, handler.reader(start.attempt()), start, now);
        ExchangeRequest request;
        try {
            request = handler.request(start.upstream(), remaining);
        } catch (RuntimeException e) {
            mTrace.line(PART, "request-invalid")
                    .with("id", handler.requestId())
                    .with("upstream", start.upstream().id())
                    .with("reason", e.toString())
                    .write();
            attempt.onEnd(ExchangeOutcome.NOT_CONNECTED);
            return;
        }
        Exchange exchange = mClient.send(request, attempt);
        mExchanges.put(key, exchange);
        if (attempt.mEnded) {
            mExchanges.remove(key);
        }
    }

    private record AcceptedCall(ForwardCallKind kind, ForwardCallHandler handler) {}

    private record AttemptKey(long number, int attempt) {}

    /** Passes a response to the reader, in the event loop, and its end to the duty. */
    private final class Attempt implements ExchangeListener {
        private final AttemptKey mKey;
        private final ForwardCallHandler mHandler;
        private final AttemptReader mReader;
        private final ForwardAction.Start mStart;
        private final long mStartNanos;
        private final long mWallMillis = mTime.wallMillis();
        private final ResponseMemory.Account mHeld = mMemory.open(this::giveUp);
        private long mPaceSinceNanos;
        private int mPaceSinceEvents;
        private long mLastEventNanos;
        private long mFirstEventNanos;
        private int mFirstEvents;
        private ConnectionUse mUse = NO_CONNECTION;
        private long mSentAfterNanos = NOT_SENT;
        private volatile boolean mEnded;

        Attempt(
                AttemptKey key,
                ForwardCallHandler handler,
                AttemptReader reader,
                ForwardAction.Start start,
                long startNanos) {
            mKey = key;
            mHandler = handler;
            mReader = reader;
            mStart = start;
            mStartNanos = startNanos;
        }

        @Override
        public boolean maySend() {
            long sentNanos = mStart.call().latestSentNanos(mTime.nanoTime());
            return mServing.mayGet(mStart.upstream().id(), sentNanos);
        }

        @Override
        public void onConnection(ConnectionUse use) {
            mUse = use;
            mSentAfterNanos = mTime.nanoTime() - mStartNanos;
        }

        @Override
        public void onResponse(int status, ResponseMatch match) {
            if (match != ResponseMatch.NAMED) {
                mTrace.line(PART, match.isOwn() ? "response-unnamed" : "response-skipped")
                        .with("id", mHandler.requestId())
                        .with("attempt", mKey.attempt)
                        .with("upstream", mStart.upstream().id())
                        .with("connection", mUse.connection())
                        .with("earlier", mUse.earlierExchanges())
                        .with("status", status)
                        .write();
            }
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            // Learned here and not at the end, which a stream may reach much later.
            UpstreamResponseHead head = mReader.onHead(status, headers);
            head.load()
                    .forEach(
                            load ->
                                    mInbox.offer(
                                            new ForwardEvent.LoadReported(
                                                    mKey.number, mKey.attempt, load)));
            if (head.leaving()) {
                mOffers.offer(
                        new ForwardEvent.LeavingAnnounced(
                                mStart.upstream(), mTime.nanoTime(), mTime.wallMillis()));
            }
        }

        @Override
        public ContentVerdict onContent(byte[] bytes) {
            ContentVerdict verdict = mReader.onContent(bytes);
            reportPace();
            mHeld.hold(mReader.heldBytes());
            return mReader.isGivenUp() ? ContentVerdict.INVALID : verdict;
        }

        private void giveUp() {
            mMeters.counter("fuchsialever.forward.given-up").increment();
            mTrace.line(PART, "response-given-up")
                    .with("id", mHandler.requestId())
                    .with("attempt", mKey.attempt)
                    .with("upstream", mStart.upstream().id())
                    .with("reason", "RESPONSE_MEMORY")
                    .write();
            mReader.giveUp();
            Exchange exchange = mExchanges.get(mKey);
            if (exchange != null) {
                exchange.cancel();
            }
        }

        private void reportPace() {
            int events = mReader.eventCount();
            if (events == 0) {
                return;
            }
            long now = mTime.nanoTime();
            mLastEventNanos = now;
            if (mPaceSinceNanos == 0) {
                mPaceSinceNanos = now;
                mPaceSinceEvents = events;
                mFirstEventNanos = now;
                mFirstEvents = events;
                return;
            }
            long elapsed = now - mPaceSinceNanos;
            int received = events - mPaceSinceEvents;
            if (elapsed >= PACE_INTERVAL_NANOS && received >= MIN_PACE_EVENTS) {
                mPaceSinceNanos = now;
                mPaceSinceEvents = events;
                mInbox.offer(
                        new ForwardEvent.Progressed(mKey.number, mKey.attempt, elapsed / received));
            }
        }

        private long sentAfterMillis() {
            return mSentAfterNanos == NOT_SENT
                    ? NOT_SENT
                    : TimeUnit.NANOSECONDS.toMillis(mSentAfterNanos);
        }

        private void recordEstimate(String kind, long lateNanos) {
            String error = lateNanos > 0 ? "late" : "early";
            mMeters.timer("fuchsialever.forward.estimate", "kind", kind, "error", error)
                    .record(Math.abs(lateNanos), TimeUnit.NANOSECONDS);
        }

        /** Reports the pace since the last report, the only one of a short stream. */
        private void reportFinalPace() {
            int received = mReader.eventCount() - mPaceSinceEvents;
            if (mPaceSinceNanos != 0 && received >= MIN_PACE_EVENTS) {
                long nanosPerEvent = (mLastEventNanos - mPaceSinceNanos) / received;
                mInbox.offer(
                        new ForwardEvent.PaceMeasured(mKey.number, mKey.attempt, nanosPerEvent));
            }
        }

        @Override
        public void onEnd(ExchangeOutcome end) {
            reportFinalPace();
            AttemptReport report = mReader.onEnd(end);
            report.load().forEach(load -> mReports.noteLoad(mStart.upstream().service(), load));
            int paced = mReader.eventCount() - mFirstEvents;
            if (mFirstEventNanos != 0 && paced >= MIN_PACE_EVENTS) {
                mReports.notePace(
                        mStart.upstream(),
                        mStart.call().model(),
                        (mTime.nanoTime() - mFirstEventNanos) / paced);
            }
            mHeld.close();
            mEnded = true;
            mExchanges.remove(mKey);
            long elapsedNanos = mTime.nanoTime() - mStartNanos;
            String outcome = report.outcome().name();
            String kind = mStart.call().kind().name();
            mMeters.timer("fuchsialever.forward.attempt", "kind", kind, "outcome", outcome)
                    .record(elapsedNanos, TimeUnit.NANOSECONDS);
            if (report.outcome() == AttemptOutcome.ANSWERED && mStart.expectedNanos() > 0) {
                recordEstimate(kind, elapsedNanos - mStart.expectedNanos());
            }
            mTrace.sampled(PART, "attempt-ended")
                    .with("id", mHandler.requestId())
                    .with("attempt", mKey.attempt)
                    .with("upstream", mStart.upstream().id())
                    .with("outcome", outcome)
                    .with("millis", TimeUnit.NANOSECONDS.toMillis(elapsedNanos))
                    .with("connection", mUse.connection())
                    .with("earlier", mUse.earlierExchanges())
                    .with("sentAfterMillis", sentAfterMillis())
                    .write();
            if (report.outcome().mayHaveRun() && !mHandler.meteredTeam().isEmpty()) {
                mUsageListeners.forEach(
                        listener -> listener.onCallStarted(mHandler.meteredTeam(), mWallMillis));
            }
            mInbox.offer(new ForwardEvent.AttemptEnded(mKey.number, mKey.attempt, report));
        }
    }
}
