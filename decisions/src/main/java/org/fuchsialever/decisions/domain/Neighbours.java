package org.fuchsialever.decisions.domain;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * The other failure domains that serve, each with the weight with which leaving calls draw it.
 *
 * @param entries the domains
 * @param waitNanos expected wait of a leaving call in nanoseconds
 */
record Neighbours(List<Entry> entries, long waitNanos) {
    static final Neighbours NONE = new Neighbours(List.of(), 0);

    Neighbours {
        entries = List.copyOf(entries);
    }

    /**
     * A domain and its weight.
     *
     * @param domain name of the failure domain
     * @param weight its weight, above 0
     */
    record Entry(String domain, double weight) {}

    /**
     * Weighs the domains by their room. If none has any, by capacity per call, so that queues of
     * equal length for the capacity come about.
     */
    static Neighbours of(
            List<DomainLoad> loads,
            String home,
            ToDoubleFunction<DomainLoad> utilization,
            long workNanos) {
        List<DomainLoad> serving =
                loads.stream()
                        .filter(load -> load.isServing() && !load.domain().equals(home))
                        .toList();
        boolean hasRoom =
                serving.stream().anyMatch(load -> load.room(utilization.applyAsDouble(load)) > 0);
        List<Entry> entries = new ArrayList<>();
        double total = 0;
        double calls = 0;
        int slots = 0;
        for (DomainLoad load : serving) {
            double used = utilization.applyAsDouble(load);
            double weight = hasRoom ? load.room(used) : load.capacity() / used;
            if (weight > 0) {
                entries.add(new Entry(load.domain(), weight));
                total += weight;
                calls += weight * used;
                slots += load.slots();
            }
        }
        if (entries.isEmpty()) {
            return NONE;
        }
        // A mean of waits would be that of the worst report.
        long wait = DomainLoad.waitNanos(slots / entries.size(), calls / total, workNanos);
        return new Neighbours(entries, wait);
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Draws a domain in proportion to the weights. */
    String draw(RandomGenerator random) {
        double point = random.nextDouble() * entries.stream().mapToDouble(Entry::weight).sum();
        for (Entry entry : entries) {
            point -= entry.weight();
            if (point < 0) {
                return entry.domain();
            }
        }
        return entries.get(entries.size() - 1).domain();
    }
}
