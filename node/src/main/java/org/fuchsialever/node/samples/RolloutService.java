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

/** Handles requests of trainers on the instance that holds the trainer's lease. */
final class RolloutService implements RolloutPort {
    private static final PartLogger LOG = PartLogger.of("samples");
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration LEASE_RETRY_DELAY = Duration.ofMillis(200);
    private static final int MAX_LEASE_RETRIES = 15;

    private final Platform mPlatform;
    private final Leases mLeases;
    private final RolloutExecutor mExecutor;
    private final PendingRequests mPending;
    private final SampleObjects mObjects;
    private final String mOwnAddress;
    private final int mMaxTrainers;
    private final Set<TrainerName> mRequestedLeases = ConcurrentHashMap.newKeySet();

    RolloutService(
            Platform platform,
            RolloutExecutor executor,
            RolloutExecutor.RolloutDependencies dependencies,
            String ownAddress,
            int maxTrainers) {
        mPlatform = platform;
        mExecutor = executor;
        mLeases = dependencies.leases();
        mPending = dependencies.pending();
        mObjects = dependencies.objects();
        mOwnAddress = ownAddress;
        mMaxTrainers = maxTrainers;
    }

    @Override
    public Mono<Option<String>> findHolder(TrainerName trainer, boolean create) {
        return Mono.defer(() -> locate(trainer, create))
                .retryWhen(
                        Retry.fixedDelay(MAX_LEASE_RETRIES, LEASE_RETRY_DELAY)
                                .filter(HolderUnknownException.class::isInstance))
                .onErrorMap(
                        failure -> !(failure instanceof RefusedException),
                        failure -> holderUnknown(trainer, failure));
    }

    @Override
    public Mono<Either<Refusal, Integer>> submit(Submission submission) {
        if (!mExecutor.belongsTo(submission.trainer(), submission.team())) {
            return refuse(RefusalReason.TEAM_NOT_ALLOWED);
        }
        Submission stored = RolloutRows.withObjectName(submission);
        return mPlatform
                .objects()
                .putIfAbsent(stored.object(), RolloutRows.write(stored))
                .timeout(RESPONSE_TIMEOUT)
                .flatMap(
                        created ->
                                mPending.send(
                                        request ->
                                                mExecutor.offer(
                                                        new RolloutEvent.GroupsSubmitted(
                                                                request, stored)),
                                        RESPONSE_TIMEOUT))
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
        if (!mExecutor.belongsTo(trainer, team)) {
            return refuse(RefusalReason.TEAM_NOT_ALLOWED);
        }
        return mPending.send(
                        request ->
                                mExecutor.offer(
                                        new RolloutEvent.SamplesRequested(
                                                trainer, request, cursor, limit, wait.toNanos())),
                        wait.plus(RESPONSE_TIMEOUT))
                .flatMap(
                        result ->
                                result.isLeft()
                                        ? Mono.just(Either.left(result.getLeft()))
                                        : page((RolloutAction.Deliver) result.get()));
    }

    @Override
    public Mono<Either<Refusal, Long>> acknowledge(
            TeamName team, TrainerName trainer, long cursor) {
        if (!mExecutor.belongsTo(trainer, team)) {
            return refuse(RefusalReason.TEAM_NOT_ALLOWED);
        }
        return mPending.send(
                        request ->
                                mExecutor.offer(
                                        new RolloutEvent.CursorAcknowledged(
                                                trainer, request, cursor)),
                        RESPONSE_TIMEOUT)
                .map(result -> result.map(action -> cursor));
    }

    /**
     * Reads the bodies and checks the lease again afterwards: after a pause a former holder may not
     * know that newer weights made these samples stale.
     */
    private Mono<Either<Refusal, SamplePage>> page(RolloutAction.Deliver delivery) {
        Either<Refusal, SamplePage> unavailable =
                Either.left(Refusal.of(RefusalReason.ROLLOUT_NOT_CONFIRMED));
        String role = RolloutRows.role(delivery.trainer());
        return mObjects.bodies(delivery.entries())
                .timeout(RESPONSE_TIMEOUT)
                .map(bodies -> new SamplePage(delivery.firstPosition(), bodies))
                .map(
                        page ->
                                mLeases.held(role).isDefined()
                                        ? Either.<Refusal, SamplePage>right(page)
                                        : unavailable)
                .onErrorReturn(unavailable);
    }

    private Mono<Option<String>> locate(TrainerName trainer, boolean create) {
        if (mLeases.held(RolloutRows.role(trainer)).isDefined()) {
            return Mono.just(Option.none());
        }
        return mPlatform
                .tables()
                .read(RolloutRows.DELIVERIES, RolloutRows.cursorKey(trainer))
                .flatMap(
                        row -> {
                            if (row.isEmpty() && !create) {
                                return Mono.error(refused(RefusalReason.TRAINER_HOLDER_UNKNOWN));
                            }
                            requestLease(trainer);
                            return remoteHolder(row);
                        });
    }

    private Mono<Option<String>> remoteHolder(Option<Row> row) {
        Option<String> holder =
                row.map(
                                found ->
                                        RolloutRows.read(found.value(), RolloutRows.HeadRow.class)
                                                .holder())
                        .filter(address -> !address.equals(mOwnAddress));
        return holder.isDefined() ? Mono.just(holder) : Mono.error(new HolderUnknownException());
    }

    /** Requests the lease, so that this instance takes over if the current holder dies. */
    private void requestLease(TrainerName trainer) {
        if (mRequestedLeases.size() >= mMaxTrainers && !mRequestedLeases.contains(trainer)) {
            throw refused(RefusalReason.QUEUE_FULL);
        }
        if (mRequestedLeases.add(trainer)) {
            mLeases.request(RolloutRows.role(trainer), new TrainerLease(trainer));
        }
    }

    private static RefusedException holderUnknown(TrainerName trainer, Throwable failure) {
        LOG.warning("Cannot determine the lease holder of trainer " + trainer + ".", failure);
        return refused(RefusalReason.TRAINER_HOLDER_UNKNOWN);
    }

    private static <T> Mono<Either<Refusal, T>> refuse(RefusalReason reason) {
        return Mono.just(Either.left(Refusal.of(reason)));
    }

    private static RefusedException refused(RefusalReason reason) {
        return new RefusedException(Refusal.of(reason));
    }

    /** Reports changes of one trainer's lease to the duty. */
    private final class TrainerLease implements Leases.LeaseListener {
        private final TrainerName mTrainer;

        TrainerLease(TrainerName trainer) {
            mTrainer = trainer;
        }

        @Override
        public void onAcquired(HeldLease lease) {
            mExecutor.offer(new RolloutEvent.LeaseAcquired(mTrainer, lease.fencing()));
        }

        @Override
        public void onLost(String role) {
            mExecutor.offer(new RolloutEvent.LeaseLost(mTrainer));
        }
    }

    /** No instance is known to hold the lease of a trainer yet. */
    private static final class HolderUnknownException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }
}
