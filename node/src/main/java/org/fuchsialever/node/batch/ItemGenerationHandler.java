package org.fuchsialever.node.batch;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.OpenText;
import org.fuchsialever.decisions.batch.PartialText;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.forward.AttemptReader;
import org.fuchsialever.node.forward.ForwardCallHandler;
import org.fuchsialever.node.forward.ServerSentEvent;
import org.fuchsialever.node.forward.ServerSentEventParser;
import org.fuchsialever.services.exchange.ContentVerdict;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.hosted.UpstreamResponseHead;
import org.jspecify.annotations.Nullable;

/** Generates the text of an item; a further attempt resumes after the last event received. */
final class ItemGenerationHandler implements ForwardCallHandler {
    /** An engine at capacity starts a run or refuses it within seconds. */
    private static final Duration FIRST_BYTE_TIMEOUT = Duration.ofMillis(4_000);

    /** An engine at a quarter of its usual speed sends an event every 0.2 s. */
    private static final Duration NEXT_EVENT_TIMEOUT = Duration.ofMillis(1_500);

    /** The timeout doubles with each silent attempt, so that a slow but sound run completes. */
    private static final int MAX_DOUBLINGS = 2;

    /** Interval at which further events are reported; a lost instance loses no more than these. */
    private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A larger report would not fit into a row of the store. */
    private static final int MAX_REPORT_CHARACTERS = 30_000;

    /** Far above the characters of a token; a text with more is probably none. */
    private static final long TOKEN_CHARACTERS = 64;

    /** A page of results, which holds at least one whole text, has at most 1 MB. */
    private static final long MAX_TEXT_CHARACTERS = 1_000_000;

    private final BatchItem mItem;
    private final String mHost;
    private final String mTeam;
    private long mGiveUpMillis;
    private final UpstreamProtocol mProtocol;
    private final TimeSource mTime;
    private final Consumer<TextProgress> mOnProgress;
    private final Consumer<String> mOnDropped;
    private final BiConsumer<String, List<Long>> mOnText;
    private final Consumer<ForwardRefusal> mOnFailure;
    private PartialText mBeginning;
    private final List<String> mEvents = new ArrayList<>();
    private final List<Long> mEventVersions = new ArrayList<>();
    private long mLastEvent;
    private long mTextCharacters;
    private long mTextEvents;
    private boolean mStartedOver;
    private int mReportedEvents;
    private int mUnreportedCharacters;
    private long mUnreportedSinceNanos;
    private @Nullable Reader mCurrentReader;
    private int mSilentAttempts;

    ItemGenerationHandler(
            BatchItem item,
            String host,
            String team,
            long giveUpMillis,
            UpstreamProtocol protocol,
            PartialText beginning,
            TimeSource time,
            Consumer<TextProgress> onProgress,
            Consumer<String> onDropped,
            BiConsumer<String, List<Long>> onText,
            Consumer<ForwardRefusal> onFailure) {
        mItem = item;
        mHost = host;
        mTeam = team;
        mGiveUpMillis = giveUpMillis;
        mProtocol = protocol;
        mTime = time;
        mOnProgress = onProgress;
        mOnDropped = onDropped;
        mBeginning = beginning;
        mLastEvent = beginning.lastEvent();
        mTextCharacters = beginning.events().stream().mapToLong(event -> event.length() + 1).sum();
        mTextEvents = beginning.events().size();
        mOnText = onText;
        mOnFailure = onFailure;
    }

    /** Sets the time that later attempts are given, in milliseconds. */
    synchronized void setTimeLimit(long millis) {
        mGiveUpMillis = millis;
    }

    @Override
    public String requestId() {
        return mItem.id();
    }

    @Override
    public String meteredTeam() {
        return "";
    }

    @Override
    public synchronized ExchangeRequest request(FleetUpstream upstream, long remainingMillis) {
        return new ExchangeRequest(
                upstream.host(),
                upstream.port(),
                "POST",
                mItem.path(),
                mProtocol.itemHeaders(
                        mItem,
                        mHost,
                        upstream,
                        mTeam,
                        Math.min(remainingMillis, mGiveUpMillis),
                        mLastEvent < 0 ? "" : Long.toString(mLastEvent)),
                mItem.body(),
                mItem.id(),
                mProtocol.responseMatcher(mItem.id()),
                FIRST_BYTE_TIMEOUT,
                NEXT_EVENT_TIMEOUT.multipliedBy(1L << Math.min(mSilentAttempts, MAX_DOUBLINGS)));
    }

    @Override
    public synchronized AttemptReader reader(int attempt) {
        Reader reader = new Reader();
        mCurrentReader = reader;
        return reader;
    }

    @Override
    public synchronized void deliver(int attempt) {
        List<String> events = new ArrayList<>(mBeginning.events());
        events.addAll(mEvents);
        Set<Long> versions = new LinkedHashSet<>(mBeginning.versions());
        versions.addAll(versions(0, mEvents.size()));
        mOnText.accept(String.join("\n", events), List.copyOf(versions));
    }

    @Override
    public void refuse(ForwardRefusal reason, long retryAfterMillis) {
        mOnFailure.accept(reason);
    }

    private synchronized boolean append(Reader reader, ServerSentEvent event, long version) {
        // A superseded attempt may still receive events until its connection is closed.
        if (reader != mCurrentReader) {
            return false;
        }
        if (!event.id().matches("[0-9]{1,18}")) {
            return false;
        }
        long number = Long.parseLong(event.id());
        if (mLastEvent >= 0 && number <= mLastEvent) {
            return true;
        }
        if (mLastEvent >= 0 && number != mLastEvent + 1) {
            return false;
        }
        mTextCharacters += event.data().length() + 1;
        mTextEvents++;
        // An event contains at least one token.
        boolean tooManyEvents = mItem.maxTokenCount() > 0 && mTextEvents > mItem.maxTokenCount();
        if (tooManyEvents || mTextCharacters > MAX_TEXT_CHARACTERS) {
            startOver(tooManyEvents ? "TOO_MANY_EVENTS" : "TOO_LONG");
            return false;
        }
        mLastEvent = number;
        if (mEvents.size() == mReportedEvents) {
            mUnreportedSinceNanos = mTime.nanoTime();
        }
        mEvents.add(event.data());
        mEventVersions.add(version);
        mUnreportedCharacters += event.data().length();
        if (mStartedOver) {
            return true;
        }
        if (mTime.nanoTime() - mUnreportedSinceNanos >= REPORT_INTERVAL_NANOS
                || mUnreportedCharacters >= MAX_REPORT_CHARACTERS) {
            mOnProgress.accept(progress(mReportedEvents, mEvents.size()));
            mReportedEvents = mEvents.size();
            mUnreportedCharacters = 0;
        }
        return true;
    }

    /** Drops a text that is no text of this item. Its stored beginning is not continued. */
    private void startOver(String reason) {
        mOnDropped.accept(reason);
        mStartedOver = true;
        mBeginning = PartialText.NONE;
        mEvents.clear();
        mEventVersions.clear();
        mTextCharacters = 0;
        mTextEvents = 0;
        mReportedEvents = 0;
        mUnreportedCharacters = 0;
        mLastEvent = PartialText.NONE.lastEvent();
    }

    private synchronized void startOverIn(Reader reader) {
        if (reader == mCurrentReader && excessCharacters() > 0) {
            startOver("RESPONSE_MEMORY");
        }
    }

    /** Texts of a plausible length do not count as memory that an upstream takes. */
    private synchronized long excessCharacters() {
        return Math.max(0, mTextCharacters - TOKEN_CHARACTERS * mItem.maxTokenCount());
    }

    private synchronized void countSilence(AttemptOutcome outcome) {
        mSilentAttempts += outcome == AttemptOutcome.SILENT ? 1 : 0;
    }

    /**
     * Returns the generated events from a number on, in parts that each fit into a row of the
     * store. Reports that are still on their way to the owner do not count, since it may end the
     * submission before it reads them.
     *
     * @param nextEvent number of the first event, {@link OpenText#FROM_FIRST} for all
     */
    synchronized List<TextProgress> eventsFrom(long nextEvent) {
        long firstEvent = mLastEvent - mEvents.size() + 1;
        long skipped = nextEvent == OpenText.FROM_FIRST ? 0 : nextEvent - firstEvent;
        if (mStartedOver || skipped < 0 || skipped >= mEvents.size()) {
            return List.of();
        }
        List<TextProgress> parts = new ArrayList<>();
        int from = (int) skipped;
        int characters = 0;
        for (int event = from; event < mEvents.size(); event++) {
            characters += mEvents.get(event).length();
            if (characters >= MAX_REPORT_CHARACTERS || event == mEvents.size() - 1) {
                parts.add(progress(from, event + 1));
                from = event + 1;
                characters = 0;
            }
        }
        return parts;
    }

    private TextProgress progress(int from, int to) {
        return new TextProgress(
                mLastEvent - mEvents.size() + 1 + from,
                List.copyOf(mEvents.subList(from, to)),
                versions(from, to));
    }

    private List<Long> versions(int from, int to) {
        return mEventVersions.subList(from, to).stream()
                .filter(version -> version > 0)
                .distinct()
                .toList();
    }

    /** Reads the events of one attempt. */
    private final class Reader extends AttemptReader {
        private ServerSentEventParser mAssembler =
                new ServerSentEventParser(mProtocol.versionFieldName());
        private long mVersion;
        private boolean mInvalid;
        private int mEventCount;

        Reader() {
            super(mProtocol);
        }

        @Override
        protected void handleHead(UpstreamResponseHead head, HttpHeaders headers) {
            mVersion = head.version();
        }

        @Override
        protected ContentVerdict handleContent(byte[] bytes) {
            if (!isSuccess()) {
                return ContentVerdict.NO_PROGRESS;
            }
            List<ServerSentEvent> events = mAssembler.feed(bytes);
            mEventCount += events.size();
            for (ServerSentEvent event : events) {
                mVersion = event.version() > 0 ? event.version() : mVersion;
                mInvalid |= !append(this, event, mVersion);
            }
            if (mInvalid || mAssembler.isOverlong()) {
                return ContentVerdict.INVALID;
            }
            return events.isEmpty() ? ContentVerdict.NO_PROGRESS : ContentVerdict.PROGRESS;
        }

        @Override
        protected int eventCount() {
            return mEventCount;
        }

        @Override
        protected long heldBytes() {
            return mAssembler.bufferedBytes() + excessCharacters();
        }

        @Override
        protected void handleGivenUp() {
            startOverIn(this);
        }

        @Override
        protected void discard() {
            mAssembler = new ServerSentEventParser(mProtocol.versionFieldName());
        }

        @Override
        protected AttemptOutcome finalOutcome(AttemptOutcome outcome) {
            countSilence(outcome);
            if (outcome != AttemptOutcome.ANSWERED) {
                return outcome;
            }
            // Statuses of this class that do not reject the item count as failed attempts.
            boolean malformed = mInvalid || mAssembler.hasIncompleteEvent();
            return !isSuccess()
                    ? AttemptOutcome.FAILED
                    : malformed ? AttemptOutcome.MALFORMED : AttemptOutcome.ANSWERED;
        }

        @Override
        protected long version() {
            return mVersion;
        }
    }
}
