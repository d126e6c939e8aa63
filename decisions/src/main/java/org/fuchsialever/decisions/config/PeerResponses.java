package org.fuchsialever.decisions.config;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * Responses of peers to an instance that starts while the table service is unavailable. They
 * suffice once two peers in different failure domains have responded, or all listed peers if there
 * are fewer.
 *
 * @param <T> the type of a response
 */
public final class PeerResponses<T> {
    private static final int MIN_DOMAINS = 2;

    private final ToLongFunction<T> version;
    private final Map<InstanceId, Response<T>> responses = new TreeMap<>();
    private int peerCount;

    /** Creates an empty collection that compares responses by the given version. */
    public PeerResponses(ToLongFunction<T> version) {
        this.version = version;
    }

    /** Sets the number of listed peers, without this instance. */
    public void setPeerCount(int peers) {
        peerCount = peers;
    }

    /** Adds a response, unless a newer one of the same peer is known. */
    public void add(InstanceId peer, FailureDomain domain, T value) {
        Response<T> earlier = responses.get(peer);
        if (earlier == null || version.applyAsLong(earlier.value) <= version.applyAsLong(value)) {
            responses.put(peer, new Response<>(domain, value));
        }
    }

    /** Returns the response with the highest version, or none while too few have arrived. */
    public Option<T> newest() {
        long domains = responses.values().stream().map(Response::domain).distinct().count();
        boolean allResponded = peerCount > 0 && responses.size() >= peerCount;
        if (domains < MIN_DOMAINS && !allResponded) {
            return Option.none();
        }
        return Option.ofOptional(
                responses.values().stream()
                        .map(Response::value)
                        .max(Comparator.comparingLong(version)));
    }

    private record Response<T>(FailureDomain domain, T value) {}
}
