package org.fuchsialever.node.watch;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.dispatch.DispatchFeed;
import org.fuchsialever.node.intent.EventPort;
import org.fuchsialever.services.body.BodyMemory;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Polls upstreams over HTTP and forwards their reports. */
final class WatchActions implements ActionSink<WatchDuty.Poll>, AutoCloseable {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(900);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int OK = 200;

    /** Reports take a few KB, lists of cache events some hundred. */
    private static final int MAX_REPORT_BYTES = 1_024 * 1_024;

    private final BodyMemory mMemory = BodyMemory.ofHeap();

    private final ConnectionProvider mConnections =
            ConnectionProvider.builder("upstream-watch")
                    .maxConnections(MAX_CONNECTIONS)
                    .pendingAcquireMaxCount(MAX_CONNECTIONS)
                    .build();
    private final HttpClient mClient =
            HttpClient.create(mConnections)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    private final TimeSource mTime;
    private final MeterRegistry mMeters;
    private final DispatchFeed mDispatch;
    private final LoadReportListeners mListeners;
    private final EventPort<WatchDuty.Event> mEvents;
    private final Map<UpstreamId, String> mStartIds = new ConcurrentHashMap<>();

    WatchActions(
            TimeSource time,
            MeterRegistry meters,
            DispatchFeed dispatch,
            LoadReportListeners listeners,
            EventPort<WatchDuty.Event> events) {
        mTime = time;
        mMeters = meters;
        mDispatch = dispatch;
        mListeners = listeners;
        mEvents = events;
    }

    @Override
    public void emit(WatchDuty.Poll poll) {
        pollLoad(poll.spec())
                .flatMap(restarted -> pollCacheEvents(poll, restarted ? 0 : poll.cacheSequence()))
                .onErrorReturn(poll.cacheSequence())
                .subscribe(
                        sequence ->
                                mEvents.accept(
                                        new WatchDuty.Event.PollEnded(poll.spec().id(), sequence)));
    }

    @Override
    public void close() {
        mConnections.dispose();
    }

    /** Returns whether the upstream restarted since its previous report. */
    private Mono<Boolean> pollLoad(UpstreamSpec spec) {
        return read(spec, "/engine/load")
                .map(
                        body ->
                                handleLoadReport(
                                        spec,
                                        EngineReportParser.parseLoad(body, mTime.wallMillis())))
                .doOnError(failure -> count("load-not-read"));
    }

    private boolean handleLoadReport(UpstreamSpec spec, LoadReport report) {
        mDispatch.report(new DispatchEvent.LoadReported(spec.id(), report));
        if (report.leaving()) {
            mDispatch.report(new DispatchEvent.UpstreamLeaving(spec.id()));
        }
        mListeners.notifyListeners(spec.id(), report);
        return !report.startId().equals(mStartIds.put(spec.id(), report.startId()));
    }

    /** Returns the sequence number of the last cache event; an engine restart resets it. */
    private Mono<Long> pollCacheEvents(WatchDuty.Poll poll, long after) {
        if (poll.kind() != UpstreamKind.ENGINE) {
            return Mono.just(after);
        }
        return read(poll.spec(), "/engine/cache-events?after=" + after)
                .map(
                        body ->
                                reportCacheEvents(
                                        poll.spec(),
                                        after,
                                        EngineReportParser.parseCacheEvents(body)))
                .doOnError(failure -> count("cache-not-read"));
    }

    private long reportCacheEvents(
            UpstreamSpec spec, long after, List<EngineReportParser.CacheEvent> events) {
        long last = after;
        for (EngineReportParser.CacheEvent event : events) {
            mDispatch.report(
                    new DispatchEvent.CacheReported(spec.id(), event.prefix(), event.stored()));
            last = Math.max(last, event.sequence());
        }
        return last;
    }

    private Mono<byte[]> read(UpstreamSpec spec, String path) {
        String host = spec.address().contains(":") ? "[" + spec.address() + "]" : spec.address();
        return mClient.get()
                .uri("http://" + host + ":" + spec.port() + path)
                .response(
                        (response, content) ->
                                response.status().code() == OK
                                        ? mMemory.read(content.asByteArray(), MAX_REPORT_BYTES)
                                        : Mono.error(
                                                new IllegalArgumentException(
                                                        "unexpected status "
                                                                + response.status().code())))
                .next()
                .timeout(RESPONSE_TIMEOUT);
    }

    private void count(String reason) {
        mMeters.counter("fuchsialever.watch.failures", "reason", reason).increment();
    }
}
