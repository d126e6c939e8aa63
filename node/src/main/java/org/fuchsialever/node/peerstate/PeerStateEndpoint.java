package org.fuchsialever.node.peerstate;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;
import org.fuchsialever.frontend.Endpoint;
import org.fuchsialever.services.InstanceList;
import org.fuchsialever.services.ListedInstance;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves the state of this instance to listed instances only, because the state contains all teams,
 * keys and upstream addresses.
 */
public final class PeerStateEndpoint implements Endpoint {
    private static final int OK = 200;
    private static final int FORBIDDEN = 403;
    private static final int UNAVAILABLE = 503;

    private final String mPath;
    private final InstanceList mInstances;
    private final Supplier<Option<String>> mState;

    /**
     * Creates the endpoint.
     *
     * @param path the path of the state
     * @param instances the instances that may read the state
     * @param state returns the response body, or none if this instance has no state yet
     */
    public PeerStateEndpoint(String path, InstanceList instances, Supplier<Option<String>> state) {
        mPath = path;
        mInstances = instances;
        mState = state;
    }

    @Override
    public boolean accepts(String method, String requestPath) {
        return method.equals("GET") && requestPath.equals(mPath);
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        InetSocketAddress remote = request.remoteAddress();
        String address =
                remote == null || remote.getAddress() == null
                        ? ""
                        : remote.getAddress().getHostAddress();
        return mInstances
                .list()
                .map(listed -> isListed(listed, address) ? OK : FORBIDDEN)
                .onErrorReturn(UNAVAILABLE)
                .flatMap(status -> respond(status, response));
    }

    private Mono<Void> respond(int status, HttpServerResponse response) {
        Option<String> body = mState.get();
        if (status != OK || body.isEmpty()) {
            return response.status(status == OK ? UNAVAILABLE : status).send();
        }
        return response.status(OK).sendString(Mono.just(body.get())).then();
    }

    private static boolean isListed(List<ListedInstance> listed, String address) {
        return listed.stream().anyMatch(instance -> instance.address().equals(address));
    }
}
