package org.fuchsialever.services.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.services.OrderedUpstream;
import org.fuchsialever.services.OrderingService;
import org.fuchsialever.services.UpstreamOrder;
import org.fuchsialever.services.UpstreamOrderResult;
import reactor.core.publisher.Mono;

/** The ordering interface over HTTP. */
final class HttpOrderingService implements OrderingService {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final String NO_CAPACITY = "capacity_unavailable";

    private final InterfaceClient mClient;

    HttpOrderingService(InterfaceClient client) {
        mClient = client;
    }

    @Override
    public Mono<UpstreamOrderResult> send(UpstreamOrder order, BooleanSupplier stillHolding) {
        ObjectNode body = InterfaceResponse.MAPPER.createObjectNode();
        body.put("order", order.order())
                .put("action", order.action().label())
                .put("upstream", order.upstream().value())
                .put("pool", order.pool().value())
                .put("failure_domain", order.domain().value())
                .put("kind", SettingsReader.label(order.kind()));
        return mClient.changeWhile(
                stillHolding,
                HttpMethod.POST,
                "/orders",
                body.toString().getBytes(StandardCharsets.UTF_8),
                HttpOrderingService::result);
    }

    @Override
    public Mono<List<OrderedUpstream>> list() {
        return mClient.read(
                "/upstreams",
                response -> {
                    if (response.status() != OK) {
                        throw response.unexpectedStatus();
                    }
                    List<OrderedUpstream> upstreams = new ArrayList<>();
                    for (JsonNode upstream : InterfaceResponse.list(response.json(), "upstreams")) {
                        upstreams.add(upstream(upstream));
                    }
                    return upstreams;
                });
    }

    private static UpstreamOrderResult result(InterfaceResponse response) {
        if (response.status() == ACCEPTED) {
            return UpstreamOrderResult.ACCEPTED;
        }
        if (response.status() == CONFLICT) {
            return UpstreamOrderResult.NAME_USED;
        }
        if (response.status() == UNAVAILABLE && NO_CAPACITY.equals(code(response.json()))) {
            return UpstreamOrderResult.CAPACITY_UNAVAILABLE;
        }
        throw response.unexpectedStatus();
    }

    private static String code(JsonNode body) {
        String code = body.path("error").path("code").asText();
        return code.isEmpty() ? body.path("code").asText() : code;
    }

    private static OrderedUpstream upstream(JsonNode upstream) {
        return new OrderedUpstream(
                new UpstreamId(InterfaceResponse.text(upstream, "upstream")),
                new PoolName(InterfaceResponse.text(upstream, "pool")),
                new FailureDomain(InterfaceResponse.text(upstream, "failure_domain")),
                constant(CapacityKind.class, InterfaceResponse.text(upstream, "kind")),
                InterfaceResponse.text(upstream, "host"),
                (int) InterfaceResponse.number(upstream, "port"),
                constant(OrderedUpstream.State.class, InterfaceResponse.text(upstream, "state")),
                upstream.path("reclaim_at_millis").asLong());
    }

    private static <E extends Enum<E>> E constant(Class<E> type, String text) {
        try {
            return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new UnexpectedResponseException("\"" + text + "\" is not known", false);
        }
    }
}
