package org.fuchsialever.node.http;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.time.TimeSource;

/** All metrics in the Prometheus text format, made at most once a second. */
public final class MetricsText {
    /** The media type of the text. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

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

    /** Returns the text, which must not be changed. */
    public synchronized byte[] bytes() {
        long now = mTime.nanoTime();
        if (mText.length == 0 || now - mMadeNanos >= LIFETIME_NANOS) {
            mText = mMeters.scrape().getBytes(StandardCharsets.UTF_8);
            mMadeNanos = now;
        }
        return mText;
    }
}
