package org.fuchsialever.node.keys;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsialever.decisions.config.ConfigStatus;
import org.fuchsialever.decisions.keys.KeyView;
import org.fuchsialever.frontend.Endpoint;
import org.fuchsialever.frontend.ResponseWriter;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.http.Readiness;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Reports to operators which versions this instance serves and whether it is ready. */
final class StatusEndpoint implements Endpoint {
    private static final String PATH = "/operator/status";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final NodeIdentity mIdentity;
    private final ConfigHolder mConfig;
    private final KeyViews mViews;
    private final Readiness mReadiness;

    StatusEndpoint(
            NodeIdentity identity, ConfigHolder config, KeyViews views, Readiness readiness) {
        mIdentity = identity;
        mConfig = config;
        mViews = views;
        mReadiness = readiness;
    }

    @Override
    public boolean accepts(String method, String path) {
        return method.equals("GET") && path.equals(PATH);
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        ConfigStatus status = mConfig.status();
        KeyView view = mViews.current();
        ObjectNode body = MAPPER.createObjectNode();
        body.put("instance", mIdentity.instance().value())
                .put("start", mIdentity.startId())
                .put("config_version", status.served())
                .put("config_highest_seen", status.highestSeen())
                .put("config_freshness", SettingsReader.label(status.freshness()))
                .put("key_version", view.version())
                .put("keys_usable", view.usable())
                .put("ready", mReadiness.isReady());
        ArrayNode unmet = body.putArray("unmet");
        mReadiness.unmetConditions().forEach(unmet::add);
        return ResponseWriter.json(response, body);
    }
}
