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
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Polls upstreams over HTTP and passes their reports on. */
final class WatchActions implements ActionSink<WatchDuty.Poll>, AutoCloseable {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(900);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int OK = 200;

    private final ConnectionProvider connections =
            ConnectionProvider.builder("upstream-watch")
                    .maxConnections(MAX_CONNECTIONS)
                    .pendingAcquireMaxCount(MAX_CONNECTIONS)
                    .build();
    private final HttpClient client =
            HttpClient.create(connections)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    private final TimeSource time;
    private final MeterRegistry meters;
    private final DispatchFeed dispatch;
    private final LoadReportListeners listeners;
    private final EventPort<WatchDuty.Event> events;
    private final Map<UpstreamId, String> starts = new ConcurrentHashMap<>();

    WatchActions(
            TimeSource time,
            MeterRegistry meters,
            DispatchFeed dispatch,
            LoadReportListeners listeners,
            EventPort<WatchDuty.Event> events) {
        this.time = time;
        this.meters = meters;
        this.dispatch = dispatch;
        this.listeners = listeners;
        this.events = events;
    }

    @Override
    public void emit(WatchDuty.Poll poll) {
        load(poll.spec())
                .flatMap(restarted -> cache(poll, restarted ? 0 : poll.cacheSequence()))
                .onErrorReturn(poll.cacheSequence())
                .subscribe(
                        sequence ->
                                events.accept(
                                        new WatchDuty.Event.PollEnded(poll.spec().id(), sequence)));
    }

    @Override
    public void close() {
        connections.dispose();
    }

    /** Returns whether the upstream has restarted since the last report. */
    private Mono<Boolean> load(UpstreamSpec spec) {
        return read(spec, "/engine/load")
                .map(body -> reported(spec, EngineReports.load(body, time.wallMillis())))
                .doOnError(failure -> count("load-not-read"));
    }

    private boolean reported(UpstreamSpec spec, LoadReport report) {
        dispatch.report(new DispatchEvent.LoadReported(spec.id(), report));
        if (report.leaving()) {
            dispatch.report(new DispatchEvent.UpstreamLeaving(spec.id()));
        }
        listeners.notifyListeners(spec.id(), report);
        return !report.startId().equals(starts.put(spec.id(), report.startId()));
    }

    /** Sequence numbers begin again when an engine restarts. */
    private Mono<Long> cache(WatchDuty.Poll poll, long after) {
        if (poll.kind() != UpstreamKind.ENGINE) {
            return Mono.just(after);
        }
        return read(poll.spec(), "/engine/cache-events?after=" + after)
                .map(body -> passOn(poll.spec(), after, EngineReports.cacheEvents(body)))
                .doOnError(failure -> count("cache-not-read"));
    }

    private long passOn(UpstreamSpec spec, long after, List<EngineReports.CacheEvent> events) {
        long last = after;
        for (EngineReports.CacheEvent event : events) {
            dispatch.report(
                    new DispatchEvent.CacheReported(spec.id(), event.prefix(), event.stored()));
            last = Math.max(last, event.sequence());
        }
        return last;
    }

    private Mono<byte[]> read(UpstreamSpec spec, String path) {
        String host = spec.address().contains(":") ? "[" + spec.address() + "]" : spec.address();
        return client.get()
                .uri("http://" + host + ":" + spec.port() + path)
                .responseSingle(
                        (response, content) ->
                                response.status().code() == OK
                                        ? content.asByteArray()
                                        : Mono.error(
                                                new IllegalArgumentException(
                                                        "status " + response.status().code())))
                .timeout(ANSWER_TIMEOUT);
    }

    private void count(String reason) {
        meters.counter("fuchsialever.watch.failures", "reason", reason).increment();
    }
}
