package org.fuchsialever.node.samples;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.RolloutAction;
import org.fuchsialever.decisions.samples.RolloutEvent;
import org.fuchsialever.decisions.samples.Submission;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.frontend.RefusedException;
import org.fuchsialever.frontend.rollout.RolloutPort;
import org.fuchsialever.frontend.rollout.SamplePage;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.Row;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/** Requests of trainers, carried out by the rollout duty of the instance that holds the lease. */
final class RolloutService implements RolloutPort {
    private static final PartLogger LOG = PartLogger.of("samples");
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration LEASE_RETRY = Duration.ofMillis(200);
    private static final int LEASE_RETRIES = 15;

    private final Platform platform;
    private final Leases leases;
    private final RolloutExecutor executor;
    private final PendingRequests pending;
    private final SampleObjects objects;
    private final String self;
    private final int maxTrainers;
    private final Set<TrainerName> wanted = ConcurrentHashMap.newKeySet();

    RolloutService(
            Platform platform,
            RolloutExecutor executor,
            RolloutExecutor.RolloutParts parts,
            String self,
            int maxTrainers) {
        this.platform = platform;
        this.executor = executor;
        this.leases = parts.leases();
        this.pending = parts.pending();
        this.objects = parts.objects();
        this.self = self;
        this.maxTrainers = maxTrainers;
    }

    @Override
    public Mono<Option<String>> findHolder(TrainerName trainer, boolean create) {
        return Mono.defer(() -> locate(trainer, create))
                .retryWhen(
                        Retry.fixedDelay(LEASE_RETRIES, LEASE_RETRY)
                                .filter(HolderUnknownException.class::isInstance))
                .onErrorMap(
                        failure -> !(failure instanceof RefusedException),
                        failure -> holderUnknown(trainer, failure));
    }

    @Override
    public Mono<Either<Refusal, Integer>> submit(Submission submission) {
        if (!executor.belongsTo(submission.trainer(), submission.team())) {
            return refuse(RefusalReason.TEAM_NOT_ALLOWED);
        }
        Submission named = RolloutRows.named(submission);
        return platform.objects()
                .putIfAbsent(named.object(), RolloutRows.write(named))
                .timeout(ANSWER_TIMEOUT)
                .flatMap(
                        stored ->
                                pending.ask(
                                        request ->
                                                executor.offer(
                                                        new RolloutEvent.GroupsSubmitted(
                                                                request, named)),
                                        ANSWER_TIMEOUT))
                .map(
                        result ->
                                result.map(
                                        action ->
                                                ((RolloutAction.Accept) action).acceptedSamples()))
                .onErrorReturn(Either.left(Refusal.of(RefusalReason.ROLLOUT_NOT_CONFIRMED)));
    }

    @Override
    public Mono<Either<Refusal, SamplePage>> samples(
            TeamName team, TrainerName trainer, long cursor, int limit, Duration wait) {
        if (!executor.belongsTo(trainer, team)) {
            return refuse(RefusalReason.TEAM_NOT_ALLOWED);
        }
        return pending.ask(
                        request ->
                                executor.offer(
                                        new RolloutEvent.SamplesRequested(
                                                trainer, request, cursor, limit, wait.toNanos())),
                        wait.plus(ANSWER_TIMEOUT))
                .flatMap(
                        result ->
                                result.isLeft()
                                        ? Mono.just(Either.left(result.getLeft()))
                                        : page((RolloutAction.Deliver) result.get()));
    }

    @Override
    public Mono<Either<Refusal, Long>> acknowledge(
            TeamName team, TrainerName trainer, long cursor) {
        if (!executor.belongsTo(trainer, team)) {
            return refuse(RefusalReason.TEAM_NOT_ALLOWED);
        }
        return pending.ask(
                        request ->
                                executor.offer(
                                        new RolloutEvent.CursorAcknowledged(
                                                trainer, request, cursor)),
                        ANSWER_TIMEOUT)
                .map(result -> result.map(action -> cursor));
    }

    /**
     * Reads the bodies and checks the lease again: a holder that was paused may not know that newer
     * weights make these samples stale.
     */
    private Mono<Either<Refusal, SamplePage>> page(RolloutAction.Deliver delivery) {
        Either<Refusal, SamplePage> unavailable =
                Either.left(Refusal.of(RefusalReason.ROLLOUT_NOT_CONFIRMED));
        String role = RolloutRows.role(delivery.trainer());
        return objects.bodies(delivery.entries())
                .timeout(ANSWER_TIMEOUT)
                .map(bodies -> new SamplePage(delivery.firstPosition(), bodies))
                .map(
                        page ->
                                leases.held(role).isDefined()
                                        ? Either.<Refusal, SamplePage>right(page)
                                        : unavailable)
                .onErrorReturn(unavailable);
    }

    private Mono<Option<String>> locate(TrainerName trainer, boolean create) {
        if (leases.held(RolloutRows.role(trainer)).isDefined()) {
            return Mono.just(Option.none());
        }
        return platform.tables()
                .read(RolloutRows.DELIVERIES, RolloutRows.cursorKey(trainer))
                .flatMap(
                        row -> {
                            if (row.isEmpty() && !create) {
                                return Mono.error(refused(RefusalReason.TRAINER_HOLDER_UNKNOWN));
                            }
                            want(trainer);
                            return elsewhere(row);
                        });
    }

    private Mono<Option<String>> elsewhere(Option<Row> row) {
        Option<String> holder =
                row.map(
                                found ->
                                        RolloutRows.read(found.value(), RolloutRows.HeadRow.class)
                                                .holder())
                        .filter(address -> !address.equals(self));
        return holder.isDefined() ? Mono.just(holder) : Mono.error(new HolderUnknownException());
    }

    /** Asks for the lease, so that this instance takes over if the present holder dies. */
    private void want(TrainerName trainer) {
        if (wanted.size() >= maxTrainers && !wanted.contains(trainer)) {
            throw refused(RefusalReason.QUEUE_FULL);
        }
        if (wanted.add(trainer)) {
            leases.request(RolloutRows.role(trainer), new TrainerLease(trainer));
        }
    }

    private static RefusedException holderUnknown(TrainerName trainer, Throwable failure) {
        LOG.warning("The holder of trainer " + trainer + " is not known.", failure);
        return refused(RefusalReason.TRAINER_HOLDER_UNKNOWN);
    }

    private static <T> Mono<Either<Refusal, T>> refuse(RefusalReason reason) {
        return Mono.just(Either.left(Refusal.of(reason)));
    }

    private static RefusedException refused(RefusalReason reason) {
        return new RefusedException(Refusal.of(reason));
    }

    /** Tells the duty about the lease of one trainer. */
    private final class TrainerLease implements Leases.LeaseListener {
        private final TrainerName trainer;

        TrainerLease(TrainerName trainer) {
            this.trainer = trainer;
        }

        @Override
        public void onAcquired(HeldLease lease) {
            executor.offer(new RolloutEvent.LeaseAcquired(trainer, lease.fencing()));
        }

        @Override
        public void onLost(String role) {
            executor.offer(new RolloutEvent.LeaseLost(trainer));
        }
    }

    /** No instance is known to act for a trainer yet. */
    private static final class HolderUnknownException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }
}
