package org.fuchsialever.decisions.manifest;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A share of the traffic of a route.
 *
 * @param service name of the service that gets it
 * @param weight weight relative to the other shares, above 0
 */
public record ServiceShare(String service, int weight) {

    /** Returns the service that gets the next call, at random by weight. */
    public static String pick(List<ServiceShare> shares, RandomGenerator random) {
        int total = shares.stream().mapToInt(ServiceShare::weight).sum();
        int point = total <= 1 ? 0 : random.nextInt(total);
        for (ServiceShare share : shares) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }
}
