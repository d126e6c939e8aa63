package org.fuchsialever.node.batch;

import io.vavr.control.Option;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.BatchSpec;
import org.fuchsialever.decisions.batch.ScoringCall;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.decisions.queue.StepOrder;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.forward.ForwardPort;

/**
 * What a step meets at the services that generate and score its texts.
 *
 * @param order in which order its items start
 * @param slots number of calls that the narrower of both runs at once, 0 if that does not matter
 */
record StepPool(StepOrder order, int slots) {
    private static final StepPool BY_DUE_TIME = new StepPool(StepOrder.LONGEST_FIRST, 0);

    /** Returns the pool of a submission whose items have the given route. */
    static StepPool of(
            Directory directory,
            ForwardPort forward,
            Option<ForwardRoute> generation,
            BatchSpec spec) {
        Option<ForwardRoute> scoring =
                Option.ofOptional(spec.items().stream().findFirst())
                        .flatMap(BatchItem::scoringCall)
                        .flatMap(call -> route(directory, call));
        List<Set<String>> stages =
                Stream.of(generation, scoring)
                        .flatMap(Option::toJavaStream)
                        .map(StepPool::services)
                        .toList();
        boolean fair = stages.stream().flatMap(Set::stream).anyMatch(forward::isQueuedFairly);
        if (!fair) {
            return BY_DUE_TIME;
        }
        List<FleetUpstream> serving =
                directory.upstreams().stream().filter(FleetUpstream::serving).toList();
        int narrowest =
                stages.stream().mapToInt(services -> slots(serving, services)).min().orElse(0);
        return new StepPool(StepOrder.NEEDED_FIRST, narrowest);
    }

    private static Option<ForwardRoute> route(Directory directory, ScoringCall call) {
        return directory.manifest().flatMap(known -> known.route(call.host(), call.path()));
    }

    private static Set<String> services(ForwardRoute route) {
        return route.shares().stream().map(ServiceShare::service).collect(Collectors.toSet());
    }

    private static int slots(List<FleetUpstream> serving, Set<String> services) {
        return serving.stream()
                .filter(upstream -> services.contains(upstream.service()))
                .mapToInt(FleetUpstream::slots)
                .sum();
    }
}
