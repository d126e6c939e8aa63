package org.fuchsialever.node.peerstate;

import io.netty.channel.ChannelOption;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.services.InstanceList;
import org.fuchsialever.services.ListedInstance;
import org.fuchsialever.services.body.BodyMemory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Requests the state of all listed peers. */
public final class PeerStateClient {
    private static final PartLogger LOG = PartLogger.of("peer-state");
    private static final int OK = 200;
    private static final int MAX_CONCURRENT_REQUESTS = 16;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    /** States have no stated size, so only the memory of all bodies bounds them. */
    private static final int MAX_STATE_BYTES = Integer.MAX_VALUE;

    private final BodyMemory mMemory = BodyMemory.ofHeap();
    private final InstanceList mInstances;
    private final InstanceId mSelf;
    private final HttpClient mClient;

    /**
     * Creates a client.
     *
     * @param instances lists the peers
     * @param self this instance, which is left out
     */
    public PeerStateClient(InstanceList instances, InstanceId self) {
        mInstances = instances;
        mSelf = self;
        mClient =
                HttpClient.newConnection()
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Asks all listed peers. Does not block. A peer that does not respond is left out.
     *
     * @param path the path of the state
     * @param onList receives the number of listed peers before any response
     * @param onResponse receives each peer that responded and the body of its response
     */
    public void askAll(
            String path, IntConsumer onList, BiConsumer<ListedInstance, String> onResponse) {
        mInstances
                .list()
                .map(this::peers)
                .doOnNext(peers -> onList.accept(peers.size()))
                .flatMapMany(Flux::fromIterable)
                .flatMap(
                        peer ->
                                fetchState(peer, path)
                                        .doOnNext(text -> onResponse.accept(peer, text)),
                        MAX_CONCURRENT_REQUESTS)
                .subscribe(
                        response -> {},
                        failure ->
                                LOG.warning(
                                        "The state of peers could not be requested: " + failure));
    }

    private List<ListedInstance> peers(List<ListedInstance> listed) {
        return listed.stream().filter(peer -> !peer.instance().equals(mSelf)).toList();
    }

    private Mono<String> fetchState(ListedInstance peer, String path) {
        String host = peer.address().contains(":") ? "[" + peer.address() + "]" : peer.address();
        return mClient.get()
                .uri("http://" + host + ":" + peer.httpPort() + path)
                .response(
                        (response, content) ->
                                response.status().code() == OK
                                        ? mMemory.read(content.asByteArray(), MAX_STATE_BYTES)
                                        : Mono.empty())
                .next()
                .map(body -> new String(body, StandardCharsets.UTF_8))
                .timeout(REQUEST_TIMEOUT)
                .onErrorResume(
                        failure -> {
                            LOG.debug("Peer " + peer.instance() + " did not respond: " + failure);
                            return Mono.empty();
                        });
    }
}
