package org.fuchsialever.node.samples;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.GeneratedSample;
import org.fuchsialever.decisions.samples.HeadCommit;
import org.fuchsialever.decisions.samples.RolloutAction;
import org.fuchsialever.decisions.samples.RolloutEvent;
import org.fuchsialever.decisions.samples.Submission;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.generation.Generation;
import org.fuchsialever.node.generation.GenerationPort;
import org.fuchsialever.node.generation.GenerationRequest;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.JudgeService;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** Executes the actions of the rollout duty. */
final class RolloutExecutor implements ActionSink<RolloutAction> {
    private static final Duration JUDGE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(10);

    private final RolloutDependencies mDependencies;
    private final Map<AttemptKey, Disposable> mRunning = new ConcurrentHashMap<>();
    private final Map<TrainerName, Submission> mNewestSubmissions = new ConcurrentHashMap<>();
    private final Map<TrainerName, String> mTeams = new ConcurrentHashMap<>();
    private volatile @Nullable Inbox<RolloutEvent> mInbox;

    RolloutExecutor(RolloutDependencies dependencies) {
        mDependencies = dependencies;
    }

    void connect(Inbox<RolloutEvent> newInbox) {
        mInbox = newInbox;
    }

    /** Sends an event to the duty; returns false if its ring is full. */
    boolean offer(RolloutEvent event) {
        Inbox<RolloutEvent> target = mInbox;
        boolean offered = target != null && target.offer(event);
        if (!offered) {
            mDependencies.metrics().failure("ring-full");
        }
        return offered;
    }

    /** Returns whether a trainer belongs to a team or to none. */
    boolean belongsTo(TrainerName trainer, TeamName team) {
        String owner = mTeams.getOrDefault(trainer, "");
        return owner.isEmpty() || owner.equals(team.value());
    }

    /** Reads the newest version of each model that trainers use from the weight store. */
    void observeVersions() {
        mNewestSubmissions.forEach(
                (trainer, submission) -> observeVersion(trainer, submission.model()));
    }

    @Override
    public void emit(RolloutAction action) {
        if (action instanceof RolloutAction.Generate generate) {
            generate(generate);
        } else if (action instanceof RolloutAction.CancelGeneration cancel) {
            cancel(new AttemptKey(cancel.trainer(), cancel.term(), cancel.attempt()));
        } else if (action instanceof RolloutAction.Judge judge) {
            judge(judge);
        } else if (action instanceof RolloutAction.StoreBody body) {
            store(body);
        } else if (action instanceof RolloutAction.CommitBatch batch) {
            commit(batch.trainer(), batch.term(), batch.commit());
        } else if (action instanceof RolloutAction.CommitCursor cursor) {
            commit(cursor.trainer(), cursor.term(), cursor.commit());
        } else if (action instanceof RolloutAction.Restore restore) {
            restore(restore);
        } else {
            respond(action);
        }
    }

    private void respond(RolloutAction action) {
        if (action instanceof RolloutAction.Deliver delivery) {
            if (!delivery.entries().isEmpty()) {
                mDependencies.metrics().delivered(delivery);
            }
            mDependencies.pending().respond(delivery.request(), delivery);
        } else if (action instanceof RolloutAction.Accept accept) {
            mDependencies.pending().respond(accept.request(), accept);
        } else if (action instanceof RolloutAction.Refuse refuse) {
            mDependencies.pending().refuse(refuse.request(), refuse.reason());
        } else if (action instanceof RolloutAction.Count count) {
            mDependencies.metrics().count(count.trainer(), count.counter(), count.amount());
        }
    }

    private void generate(RolloutAction.Generate action) {
        TrainerName trainer = action.sample().trainer();
        AttemptKey key = new AttemptKey(trainer, action.term(), action.attempt());
        RolloutEvent failed =
                new RolloutEvent.SampleFailed(trainer, action.term(), action.attempt());
        Option<Route> route = routeNamed(action.route());
        if (route.isEmpty()) {
            offer(failed);
            return;
        }
        long started = mDependencies.time().wallMillis();
        GenerationRequest request =
                new GenerationRequest(
                        new RequestId(
                                mDependencies.writer()
                                        + "-s"
                                        + action.term()
                                        + "-"
                                        + action.attempt()),
                        route.get(),
                        action.team(),
                        action.prompt(),
                        action.maxTokens(),
                        action.urgency());
        Disposable generation =
                Mono.defer(() -> mDependencies.generation().generate(request))
                        .map(result -> generated(action, result, started))
                        .doOnError(failure -> mDependencies.metrics().failure("generate"))
                        .onErrorReturn(failed)
                        .defaultIfEmpty(failed)
                        .doFinally(signal -> mRunning.remove(key))
                        .subscribe(this::offer);
        if (!generation.isDisposed()) {
            mRunning.put(key, generation);
            if (generation.isDisposed()) {
                mRunning.remove(key);
            }
        }
    }

    private RolloutEvent generated(
            RolloutAction.Generate action, Generation result, long startedMillis) {
        return new RolloutEvent.SampleGenerated(
                action.sample().trainer(),
                action.term(),
                action.attempt(),
                new GeneratedSample(
                        result.text(),
                        result.ranges(),
                        startedMillis,
                        mDependencies.time().wallMillis()));
    }

    private Option<Route> routeNamed(RouteName name) {
        return mDependencies
                .config()
                .current()
                .flatMap(snapshot -> Option.of(snapshot.routes().get(name)));
    }

    private void cancel(AttemptKey key) {
        Disposable generation = mRunning.remove(key);
        if (generation != null) {
            generation.dispose();
        }
    }

    private void judge(RolloutAction.Judge action) {
        TrainerName trainer = action.sample().trainer();
        RolloutEvent failed =
                new RolloutEvent.SampleFailed(trainer, action.term(), action.attempt());
        Mono.defer(
                        () ->
                                mDependencies
                                        .judge()
                                        .judge(
                                                action.sample().toString(),
                                                action.prompt(),
                                                action.text()))
                .timeout(JUDGE_TIMEOUT)
                .<RolloutEvent>map(
                        score ->
                                new RolloutEvent.SampleJudged(
                                        trainer, action.term(), action.attempt(), score))
                .doOnError(failure -> mDependencies.metrics().failure("judge"))
                .onErrorReturn(failed)
                .defaultIfEmpty(failed)
                .subscribe(this::offer);
    }

    private void store(RolloutAction.StoreBody action) {
        RolloutEvent stored =
                new RolloutEvent.BatchStored(action.trainer(), action.term(), action.object());
        RolloutEvent failed =
                new RolloutEvent.StoreFailed(action.trainer(), action.term(), action.object());
        Mono.defer(() -> mDependencies.objects().store(action.object(), action.samples()))
                .timeout(STORE_TIMEOUT)
                .map(created -> stored)
                .doOnError(failure -> mDependencies.metrics().failure("store"))
                .onErrorReturn(failed)
                .defaultIfEmpty(failed)
                .subscribe(this::offer);
    }

    private void commit(TrainerName trainer, long term, HeadCommit commit) {
        commit.submission()
                .forEach(
                        submission -> {
                            mNewestSubmissions.put(trainer, submission);
                            mTeams.put(trainer, submission.team().value());
                            observeVersion(trainer, submission.model());
                        });
        mDependencies
                .commits()
                .send(trainer, term, commit, mTeams.getOrDefault(trainer, ""), this::offer);
    }

    private void restore(RolloutAction.Restore action) {
        TrainerName trainer = action.trainer();
        Mono.delay(Duration.ofNanos(action.delayNanos()))
                .flatMap(
                        tick ->
                                mDependencies
                                        .restorer()
                                        .restore(
                                                trainer,
                                                action.atLeastVersion(),
                                                () -> isHolding(trainer, action.term())))
                .subscribe(
                        restored -> handleRestored(trainer, action.term(), restored),
                        failure -> mDependencies.metrics().failure("restore"));
    }

    private void handleRestored(TrainerName trainer, long term, RolloutRestorer.Restored restored) {
        mTeams.put(trainer, restored.team());
        offer(new RolloutEvent.TrainerRestored(trainer, term, restored.log()));
        restored.log().submissions().stream()
                .reduce((first, second) -> second)
                .ifPresent(
                        last -> {
                            mNewestSubmissions.put(trainer, last.submission());
                            observeVersion(trainer, last.submission().model());
                        });
    }

    private boolean isHolding(TrainerName trainer, long term) {
        return mDependencies
                .leases()
                .held(RolloutRows.role(trainer))
                .exists(lease -> lease.fencing() == term);
    }

    private void observeVersion(TrainerName trainer, String model) {
        mDependencies
                .weights()
                .latest(model)
                .subscribe(
                        version -> offer(new RolloutEvent.VersionObserved(trainer, version)),
                        failure -> mDependencies.metrics().failure("weights"));
    }

    private record AttemptKey(TrainerName trainer, long term, long attempt) {}

    /** Services and settings that the executor and the rollout service share. */
    record RolloutDependencies(
            String writer,
            ConfigHolder config,
            Leases leases,
            GenerationPort generation,
            JudgeService judge,
            org.fuchsialever.services.WeightStore weights,
            SampleObjects objects,
            CommitSender commits,
            RolloutRestorer restorer,
            PendingRequests pending,
            RolloutMetrics metrics,
            TimeSource time) {}
}
