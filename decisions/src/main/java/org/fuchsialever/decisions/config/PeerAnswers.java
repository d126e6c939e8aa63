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
public final class PeerAnswers<T> {
    private static final int DOMAINS_NEEDED = 2;

    private final ToLongFunction<T> version;
    private final Map<InstanceId, Answer<T>> answers = new TreeMap<>();
    private int listedPeers;

    /** Creates an empty collection that compares responses by the given version. */
    public PeerAnswers(ToLongFunction<T> version) {
        this.version = version;
    }

    /** Sets the number of listed peers, without this instance. */
    public void listed(int peers) {
        listedPeers = peers;
    }

    /** Adds a response, unless a newer one of the same peer is known. */
    public void add(InstanceId peer, FailureDomain domain, T value) {
        Answer<T> earlier = answers.get(peer);
        if (earlier == null || version.applyAsLong(earlier.value) <= version.applyAsLong(value)) {
            answers.put(peer, new Answer<>(domain, value));
        }
    }

    /** Returns the response with the highest version, or none while too few have arrived. */
    public Option<T> newest() {
        long domains = answers.values().stream().map(Answer::domain).distinct().count();
        boolean allResponded = listedPeers > 0 && answers.size() >= listedPeers;
        if (domains < DOMAINS_NEEDED && !allResponded) {
            return Option.none();
        }
        return Option.ofOptional(
                answers.values().stream()
                        .map(Answer::value)
                        .max(Comparator.comparingLong(version)));
    }

    private record Answer<T>(FailureDomain domain, T value) {}
}
