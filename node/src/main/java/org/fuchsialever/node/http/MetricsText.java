package org.fuchsialever.node.http;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.time.TimeSource;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** All metrics in the Prometheus text format, made at most once a second. */
public final class MetricsText {
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final String RETRY_AFTER_SECONDS = "1";

    /** Collectors ask every few seconds; a text for each request would take the event loop. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PrometheusMeterRegistry mMeters;
    private final TimeSource mTime;
    private byte[] mText = new byte[0];
    private long mMadeNanos;

    /** Creates a text of the given meters. */
    public MetricsText(PrometheusMeterRegistry meters, TimeSource time) {
        mMeters = meters;
        mTime = time;
    }

    /** Writes the text as the response. */
    public Mono<Void> send(HttpServerResponse response) {
        byte[] text = bytes();
        return response.header(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(text.length))
                .sendByteArray(Mono.just(text))
                .then();
    }

    /** Refuses a request for the text, of which too many are unread. */
    public static Mono<Void> refuse(HttpServerResponse response) {
        return response.status(HttpResponseStatus.SERVICE_UNAVAILABLE)
                .header(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
                .header(HttpHeaderNames.CONTENT_LENGTH, "0")
                .send();
    }

    /** Returns the length of the text in bytes. */
    public int length() {
        return bytes().length;
    }

    private synchronized byte[] bytes() {
        long now = mTime.nanoTime();
        if (mText.length == 0 || now - mMadeNanos >= LIFETIME_NANOS) {
            mText = mMeters.scrape().getBytes(StandardCharsets.UTF_8);
            mMadeNanos = now;
        }
        return mText;
    }
}
