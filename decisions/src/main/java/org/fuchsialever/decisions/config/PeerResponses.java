package org.fuchsialever.decisions.config;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * Answers of peers to an instance that starts without the table service. They suffice when at least
 * two peers in different failure domains have answered, or all listed peers if there are fewer.
 *
 * @param <T> the type of an answer
 */
public final class PeerResponses<T> {
    private static final int DOMAINS_NEEDED = 2;

    private final ToLongFunction<T> version;
    private final Map<InstanceId, Answer<T>> answers = new TreeMap<>();
    private int listedPeers;

    /** Creates a collection whose newest answer is found by the given version. */
    public PeerResponses(ToLongFunction<T> version) {
        this.version = version;
    }

    /** Sets the number of listed peers, without this instance. */
    public void setPeerCount(int peers) {
        listedPeers = peers;
    }

    /** Adds an answer; an older answer than the present one of the same peer is ignored. */
    public void add(InstanceId peer, FailureDomain domain, T value) {
        Answer<T> earlier = answers.get(peer);
        if (earlier == null || version.applyAsLong(earlier.value) <= version.applyAsLong(value)) {
            answers.put(peer, new Answer<>(domain, value));
        }
    }

    /** Returns the answer with the highest version, or none while the answers do not suffice. */
    public Option<T> newest() {
        long domains = answers.values().stream().map(Answer::domain).distinct().count();
        boolean allAnswered = listedPeers > 0 && answers.size() >= listedPeers;
        if (domains < DOMAINS_NEEDED && !allAnswered) {
            return Option.none();
        }
        return Option.ofOptional(
                answers.values().stream()
                        .map(Answer::value)
                        .max(Comparator.comparingLong(version)));
    }

    private record Answer<T>(FailureDomain domain, T value) {}
}
