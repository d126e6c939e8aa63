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

    private final ToLongFunction<T> mVersion;
    private final Map<InstanceId, Response<T>> mResponses = new TreeMap<>();
    private int mPeerCount;

    /** Creates an empty collection that compares responses by the given version. */
    public PeerResponses(ToLongFunction<T> version) {
        mVersion = version;
    }

    /** Sets the number of listed peers, without this instance. */
    public void setPeerCount(int peers) {
        mPeerCount = peers;
    }

    /** Adds a response, unless a newer one of the same peer is known. */
    public void add(InstanceId peer, FailureDomain domain, T value) {
        Response<T> earlier = mResponses.get(peer);
        if (earlier == null || mVersion.applyAsLong(earlier.value) <= mVersion.applyAsLong(value)) {
            mResponses.put(peer, new Response<>(domain, value));
        }
    }

    /** Returns the response with the highest version, or none while too few have arrived. */
    public Option<T> newest() {
        long domains = mResponses.values().stream().map(Response::domain).distinct().count();
        boolean allResponded = mPeerCount > 0 && mResponses.size() >= mPeerCount;
        if (domains < MIN_DOMAINS && !allResponded) {
            return Option.none();
        }
        return Option.ofOptional(
                mResponses.values().stream()
                        .map(Response::value)
                        .max(Comparator.comparingLong(mVersion)));
    }

    private record Response<T>(FailureDomain domain, T value) {}
}
