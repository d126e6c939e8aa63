package org.fuchsialever.cli.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.ChannelOption;
import io.vavr.Tuple;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.fuchsialever.services.InstanceList;
import org.fuchsialever.services.ListedInstance;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;

/** Calls the operator interface of the listed instances. */
public final class OperatorClient {
    private static final int OK = 200;
    private static final int MAX_CONCURRENT_CALLS = 32;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient mClient =
            HttpClient.newConnection()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    private final InstanceList mList;

    /** Creates a client for the instances on a list. */
    public OperatorClient(InstanceList list) {
        mList = list;
    }

    /** Returns the listed instances, or none if the list cannot be read. */
    public Option<List<ListedInstance>> listInstances() {
        return Try.of(() -> PlatformSession.await(mList.list())).toOption();
    }

    /** Returns the names of the instances whose configuration version is at least the given one. */
    public Set<String> instancesAtVersion(Collection<ListedInstance> instances, long version) {
        return instancesConfirming(
                instances,
                instance ->
                        requestStatus(instance)
                                .filter(body -> body.path("config_version").asLong() >= version));
    }

    /** Returns the status documents of the instances that respond, by instance name. */
    public Map<String, JsonNode> fetchStatus(Collection<ListedInstance> instances) {
        return responses(instances, this::requestStatus);
    }

    /** Sends a key withdrawal and returns the names of the instances that confirmed it. */
    public Set<String> withdrawKey(Collection<ListedInstance> instances, String key) {
        byte[] body =
                MAPPER.createObjectNode()
                        .put("key", key)
                        .toString()
                        .getBytes(StandardCharsets.UTF_8);
        return instancesConfirming(
                instances,
                instance ->
                        readJson(
                                        mClient.headers(
                                                        fields ->
                                                                fields.set(
                                                                        "Content-Length",
                                                                        body.length))
                                                .post()
                                                .uri(url(instance) + "/operator/withdrawals")
                                                .send(
                                                        ByteBufMono.fromString(
                                                                Mono.just(
                                                                        new String(
                                                                                body,
                                                                                StandardCharsets
                                                                                        .UTF_8)))))
                                .filter(response -> response.path("withdrawn").asBoolean()));
    }

    private Mono<JsonNode> requestStatus(ListedInstance instance) {
        return readJson(mClient.get().uri(url(instance) + "/operator/status"));
    }

    private static Set<String> instancesConfirming(
            Collection<ListedInstance> instances, Function<ListedInstance, Mono<JsonNode>> call) {
        return new TreeSet<>(responses(instances, call).keySet());
    }

    private static Map<String, JsonNode> responses(
            Collection<ListedInstance> instances, Function<ListedInstance, Mono<JsonNode>> call) {
        return PlatformSession.await(
                Flux.fromIterable(instances)
                        .flatMap(
                                instance ->
                                        call.apply(instance)
                                                .timeout(RESPONSE_TIMEOUT)
                                                .onErrorResume(failure -> Mono.empty())
                                                .map(response -> Tuple.of(instance, response)),
                                MAX_CONCURRENT_CALLS)
                        .collectMap(pair -> pair._1.instance().value(), pair -> pair._2));
    }

    private static Mono<JsonNode> readJson(HttpClient.ResponseReceiver<?> request) {
        return request.responseSingle(
                        (response, content) ->
                                response.status().code() == OK
                                        ? content.asByteArray()
                                        : Mono.<byte[]>empty())
                .flatMap(body -> Mono.fromCallable(() -> MAPPER.readTree(body)));
    }

    private static String url(ListedInstance instance) {
        String address = instance.address();
        String host = address.contains(":") ? "[" + address + "]" : address;
        return "http://" + host + ":" + instance.httpPort();
    }
}
