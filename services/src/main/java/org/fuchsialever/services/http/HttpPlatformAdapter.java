package org.fuchsialever.services.http;

import io.netty.channel.ChannelOption;
import io.vavr.control.Try;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.PlatformAdapter;
import org.fuchsialever.services.body.BodyMemory;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Accesses the platform over HTTP. Section {@code [platform]} holds a URL for each interface; calls
 * to an interface without a URL fail without an effect.
 */
public final class HttpPlatformAdapter implements PlatformAdapter {
    private static final String MSG_BAD_URL = "platform.bad-url";
    private static final String MSG_BAD_TIMEOUT = "platform.bad-timeout";
    private static final String SECTION = "platform";
    private static final String TABLE_SERVICE = "table-service";
    private static final String OBJECT_STORE = "object-store";
    private static final List<String> OPTIONAL_SERVICES =
            List.of(OBJECT_STORE, "ordering", "usage", "instance-list", "weight-store", "judge");
    private static final int MAX_CONNECTIONS = 64;
    private static final int MAX_PENDING_ACQUIRES = 1_024;
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(30);
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final BodyMemory mMemory = BodyMemory.ofHeap();
    private final Map<String, String> mUrls = new HashMap<>();
    private Duration mConnectTimeout = DEFAULT_CONNECT_TIMEOUT;
    private Duration mRequestTimeout = DEFAULT_REQUEST_TIMEOUT;

    @Override
    public String pluginName() {
        return "http";
    }

    @Override
    public void configure(SettingsReader settings) {
        readUrl(settings, TABLE_SERVICE, settings.requiredText(SECTION, TABLE_SERVICE));
        for (String key : OPTIONAL_SERVICES) {
            readUrl(settings, key, settings.text(SECTION, key, ""));
        }
        mConnectTimeout = timeout(settings, "connect-timeout", DEFAULT_CONNECT_TIMEOUT);
        mRequestTimeout = timeout(settings, "request-timeout", DEFAULT_REQUEST_TIMEOUT);
    }

    @Override
    public Platform open(ComponentContext context) {
        ConnectionProvider connections =
                ConnectionProvider.builder("platform")
                        .maxConnections(MAX_CONNECTIONS)
                        .pendingAcquireMaxCount(MAX_PENDING_ACQUIRES)
                        .maxIdleTime(MAX_IDLE_TIME)
                        .build();
        context.closer().register("platform connections", connections::dispose);
        HttpClient pooled = configured(HttpClient.create(connections));
        HttpClient unpooled = configured(HttpClient.newConnection()).keepAlive(false);
        UnaryOperator<HttpClient> ifAbsent =
                client -> client.headers(headers -> headers.set("If-None-Match", "*"));
        return new Platform(
                new HttpTableService(client(TABLE_SERVICE, pooled, unpooled, context)),
                new HttpObjectStore(client(OBJECT_STORE, pooled, unpooled, context, ifAbsent)),
                new HttpOrderingService(client("ordering", pooled, unpooled, context)),
                new HttpUsageReportService(client("usage", pooled, unpooled, context)),
                new HttpInstanceList(client("instance-list", pooled, unpooled, context)),
                new HttpWeightStore(client("weight-store", pooled, unpooled, context)),
                new HttpJudgeService(client("judge", pooled, unpooled, context)));
    }

    private InterfaceClient client(
            String key, HttpClient pooled, HttpClient unpooled, ComponentContext context) {
        return client(key, pooled, unpooled, context, UnaryOperator.identity());
    }

    private InterfaceClient client(
            String key,
            HttpClient pooled,
            HttpClient unpooled,
            ComponentContext context,
            UnaryOperator<HttpClient> forChanges) {
        return new InterfaceClient(
                key,
                mUrls.getOrDefault(key, ""),
                pooled,
                forChanges.apply(pooled),
                unpooled,
                mRequestTimeout,
                mMemory,
                context.meters());
    }

    // By default the library retries a request when a reused connection turns out to be closed,
    // which would hide from the caller that a change may have been applied.
    private HttpClient configured(HttpClient client) {
        return client.disableRetry(true)
                .headers(headers -> headers.set("Content-Type", "application/json"))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) mConnectTimeout.toMillis());
    }

    private void readUrl(SettingsReader settings, String key, String url) {
        if (!url.isEmpty() && !isBaseUrl(url)) {
            settings.findings()
                    .error(
                            settings.location(SECTION, key),
                            MSG_BAD_URL,
                            "\"%s\" is not a base URL; write for example http://10.0.0.1:9100",
                            url);
        }
        mUrls.put(key, url.endsWith("/") ? url.substring(0, url.length() - 1) : url);
    }

    private static Duration timeout(SettingsReader settings, String key, Duration defaultValue) {
        Duration value = settings.duration(SECTION, key, defaultValue);
        if (value.toMillis() < 1 || value.toMinutes() > 1) {
            settings.findings()
                    .error(
                            settings.location(SECTION, key),
                            MSG_BAD_TIMEOUT,
                            "a timeout must be between 1 ms and 1 min");
            return defaultValue;
        }
        return value;
    }

    private static boolean isBaseUrl(String url) {
        return Try.of(() -> new URI(url))
                .map(
                        uri ->
                                "http".equals(uri.getScheme())
                                        && uri.getHost() != null
                                        && uri.getPort() > 0
                                        && uri.getRawQuery() == null)
                .getOrElse(false);
    }
}
