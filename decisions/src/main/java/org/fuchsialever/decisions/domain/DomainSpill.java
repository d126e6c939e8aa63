package org.fuchsialever.decisions.domain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Decides for each service how many of the instance's calls leave its failure domain, and which
 * other one each of them goes to. Single writer.
 */
public final class DomainSpill {
    private final String mHome;
    private final DomainPolicy mPolicy;
    private final DomainCost mCost;
    private final RandomGenerator mRandom;
    private final Map<String, ServiceSpill> mServices = new HashMap<>();
    private final List<ShareChange> mChanges = new ArrayList<>();

    /**
     * Creates a spill from which no call leaves.
     *
     * @param home failure domain of the instance
     */
    public DomainSpill(String home, DomainPolicy policy, DomainCost cost, RandomGenerator random) {
        mHome = home;
        mPolicy = policy;
        mCost = cost;
        mRandom = random;
    }

    /** Returns a spill that never applies, for instances without a failure domain. */
    public static DomainSpill disabled(RandomGenerator random) {
        return new DomainSpill("", DomainPolicy.OFF, new DomainCost(0, 0), random);
    }

    /**
     * Returns whether failure domains play a part in the choice among the upstreams of a service.
     *
     * @param reportsSlowdown whether an upstream of the service has reported its slowdown
     */
    public boolean appliesTo(boolean reportsSlowdown) {
        return mPolicy.appliesTo(reportsSlowdown);
    }

    /** Returns what it costs to run a call in a domain, in nanoseconds. */
    public long costNanos(String domain, long bytes) {
        return domain.equals(mHome) ? 0 : mCost.callNanos(bytes);
    }

    /**
     * Takes in the load of a service and returns the failure domain that a call should run in.
     *
     * @param loads the load of each domain in which the service has upstreams
     * @param bytes size of the body
     * @param now monotonic time in nanoseconds
     */
    public String target(String service, List<DomainLoad> loads, long bytes, long now) {
        ServiceSpill spill = service(service);
        spill.update(loads, now, mChanges::add);
        return spill.target(bytes);
    }

    /** Records how long a call took at its upstream, in nanoseconds. */
    public void noteWork(String service, long nanos) {
        service(service).noteWork(nanos);
    }

    /** Returns the share of the calls of a service that leave, 0 to 1. */
    public double share(String service) {
        return service(service).share();
    }

    /** Passes on the changes of shares since the last call of this method. */
    public void drainChanges(Consumer<ShareChange> consumer) {
        mChanges.forEach(consumer);
        mChanges.clear();
    }

    private ServiceSpill service(String service) {
        return mServices.computeIfAbsent(
                service, name -> new ServiceSpill(name, mHome, mCost, mRandom));
    }
}
