package org.fuchsialever.node.batch;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.batch.BatchAction;
import org.fuchsialever.decisions.batch.BatchEvent;
import org.fuchsialever.decisions.batch.BatchEvent.OpenedBatch;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.BatchSpec;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.batch.ItemResult;
import org.fuchsialever.decisions.forward.ForwardCall;
import org.fuchsialever.decisions.forward.ForwardCallKind;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.StoreClock;
import org.fuchsialever.node.forward.ForwardCallHandler;
import org.fuchsialever.node.forward.ForwardPort;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.rows.RowChangeResult;
import reactor.core.publisher.Mono;

/** Carries out what the batch duty decides. */
final class BatchActions implements ActionSink<BatchAction> {
    private static final String PART = "batch";

    private final BatchStore store;
    private final Directory directory;
    private final ForwardPort forward;
    private final UpstreamProtocol protocol;
    private final Inbox<BatchEvent> inbox;
    private final TimeSource time;
    private final StoreClock clock;
    private final TraceLog trace;
    private final Runnable onDrained;
    private final Map<ItemKey, Running> running = new ConcurrentHashMap<>();

    BatchActions(
            BatchStore store,
            Directory directory,
            ForwardPort forward,
            UpstreamProtocol protocol,
            Inbox<BatchEvent> inbox,
            TimeSource time,
            StoreClock clock,
            TraceLog trace,
            Runnable onDrained) {
        this.store = store;
        this.directory = directory;
        this.forward = forward;
        this.protocol = protocol;
        this.inbox = inbox;
        this.time = time;
        this.clock = clock;
        this.trace = trace;
        this.onDrained = onDrained;
    }

    @Override
    public void emit(BatchAction action) {
        if (action instanceof BatchAction.Claim claim) {
            claim(claim);
        } else if (action instanceof BatchAction.Generate generate) {
            generate(generate);
        } else if (action instanceof BatchAction.Score score) {
            score(score);
        } else if (action instanceof BatchAction.Stop stop) {
            Running call = running.remove(new ItemKey(stop.id(), stop.item()));
            if (call != null) {
                forward.cancel(call.number);
            }
        } else if (action instanceof BatchAction.Commit commit) {
            commit(commit);
        } else if (action instanceof BatchAction.Closed closed) {
            trace.line(PART, "closed")
                    .with("id", closed.id())
                    .with("reason", closed.reason())
                    .write();
        } else if (action instanceof BatchAction.Drained) {
            onDrained.run();
        }
    }

    /** Sends queued and running items to the services that a newer manifest names. */
    void reroute(Manifest manifest) {
        running.forEach(
                (key, call) -> {
                    Option<ForwardRoute> route = manifest.route(call.host, call.path);
                    boolean moved =
                            route.isEmpty() || !route.get().shares().equals(call.work.shares());
                    if (moved && running.remove(key, call)) {
                        forward.cancel(call.number);
                        resubmit(key, call, route);
                    }
                });
    }

    private void resubmit(ItemKey key, Running call, Option<ForwardRoute> route) {
        if (route.isEmpty()) {
            call.payload.refuse(ForwardRefusal.NO_UPSTREAM, 0);
            return;
        }
        ForwardCall moved = call.work.withShares(route.get().shares());
        submit(key, call.host, call.path, moved, call.payload);
    }

    /** Opens a submission that this instance owns. */
    void open(BatchState head, long version, BatchSpec spec, Set<String> listed) {
        Option<ForwardRoute> route =
                directory.manifest().flatMap(m -> m.route(head.host(), head.path()));
        long due = route.map(ForwardRoute::dueAfterMillis).getOrElse(0L);
        long giveUp = route.map(ForwardRoute::abandonAfterMillis).getOrElse(0L);
        // Whoever opens a submission has read its head, and with it the time of the store.
        long age = clock.millis().getOrElse(head.submittedMillis()) - head.submittedMillis();
        long giveUpNanos =
                giveUp <= 0
                        ? Duty.NO_TIMER
                        : time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(giveUp - age);
        trace.line(PART, "opened")
                .with("id", head.id())
                .with("model", spec.model())
                .with("step", spec.step())
                .with("minVersion", spec.minVersion())
                .with("items", spec.items().size())
                .with("listed", listed.size())
                .with("ageMillis", age)
                .with("epoch", head.epoch())
                .write();
        inbox.offer(
                new BatchEvent.Opened(
                        new OpenedBatch(
                                head,
                                version,
                                spec,
                                listed,
                                head.submittedMillis() + due,
                                giveUpNanos,
                                route.exists(ForwardRoute::singleVersion))));
    }

    /** Watches that the instance to which a submission was given begins to run it. */
    void placed(String id) {
        inbox.offer(new BatchEvent.Placed(id));
    }

    private void claim(BatchAction.Claim claim) {
        BatchState head = claim.state();
        trace.line(PART, "claim")
                .with("id", head.id())
                .with("reason", claim.reason())
                .with("epoch", head.epoch())
                .write();
        store.write(head, claim.version(), head.resultCount(), List.of())
                .flatMap(result -> load(head, result))
                .subscribe(
                        done -> {},
                        failure ->
                                inbox.offer(
                                        new BatchEvent.ClaimFailed(
                                                head.id(), String.valueOf(failure.getMessage()))));
    }

    private Mono<Boolean> load(BatchState head, RowChangeResult result) {
        if (!(result instanceof RowChangeResult.Applied applied)) {
            inbox.offer(new BatchEvent.ClaimFailed(head.id(), "another instance was first"));
            return Mono.just(false);
        }
        return Mono.zip(store.spec(head), store.allResults(head.id()))
                .map(
                        loaded -> {
                            Set<String> listed = new HashSet<>();
                            for (ItemResult listedResult : loaded.getT2()) {
                                listed.add(listedResult.itemId());
                            }
                            open(head, applied.version(), loaded.getT1(), listed);
                            return true;
                        });
    }

    private void generate(BatchAction.Generate generate) {
        BatchSpec spec = generate.spec();
        BatchState head = generate.state();
        int index = generate.item();
        BatchItem item = spec.items().get(index);
        ItemKey key = new ItemKey(spec.id(), index);
        Option<ForwardRoute> route = route(head.host(), item.path(), head.path());
        if (route.isEmpty()) {
            inbox.offer(new BatchEvent.GenerationFailed(spec.id(), index));
            return;
        }
        ItemPayload payload =
                new ItemPayload(
                        item,
                        head.host(),
                        head.team(),
                        Math.max(1_000, route.get().abandonAfterMillis()),
                        protocol,
                        (text, versions) -> {
                            running.remove(key);
                            inbox.offer(new BatchEvent.Generated(spec.id(), index, text, versions));
                        },
                        reason -> {
                            running.remove(key);
                            itemFailed("generation-failed", spec.id(), item.id(), reason);
                            inbox.offer(new BatchEvent.GenerationFailed(spec.id(), index));
                        });
        ForwardCall work =
                new ForwardCall(
                        0,
                        ForwardCallKind.ITEM,
                        route.get().shares(),
                        true,
                        route.get().maxAttempts(),
                        spec.model(),
                        spec.minVersion(),
                        item.group(),
                        generate.queueRank(),
                        time.nanoTime(),
                        Duty.NO_TIMER,
                        Duty.NO_TIMER);
        submit(key, head.host(), item.path(), work, payload);
    }

    private Option<ForwardRoute> route(String host, String path, String otherPath) {
        return directory
                .manifest()
                .flatMap(
                        manifest ->
                                manifest.route(host, path)
                                        .orElse(() -> manifest.route(host, otherPath)));
    }

    private void score(BatchAction.Score score) {
        String id = score.spec().id();
        int index = score.item();
        String itemId = score.spec().items().get(index).id();
        ItemKey key = new ItemKey(id, index);
        Option<ForwardRoute> route = route(score.call().host(), score.call().path(), "");
        if (route.isEmpty()) {
            itemFailed("scoring-failed", id, itemId, "NO_ROUTE");
            inbox.offer(new BatchEvent.ScoringFailed(id, index));
            return;
        }
        ScorePayload payload =
                new ScorePayload(
                        score.call(),
                        route.get().timeoutMillis(),
                        protocol,
                        signature -> {
                            running.remove(key);
                            inbox.offer(new BatchEvent.Scored(id, index, signature));
                        },
                        reason -> {
                            running.remove(key);
                            itemFailed("scoring-failed", id, itemId, reason);
                            inbox.offer(new BatchEvent.ScoringFailed(id, index));
                        });
        ForwardCall work =
                new ForwardCall(
                        0,
                        ForwardCallKind.SCORE,
                        route.get().shares(),
                        true,
                        route.get().maxAttempts(),
                        "",
                        0,
                        "",
                        score.queueRank(),
                        time.nanoTime(),
                        Duty.NO_TIMER,
                        TimeUnit.MILLISECONDS.toNanos(route.get().targetLatencyMillis()));
        submit(key, score.call().host(), score.call().path(), work, payload);
    }

    private void submit(
            ItemKey key, String host, String path, ForwardCall work, ForwardCallHandler payload) {
        forward.submit(
                assigned -> {
                    ForwardCall numbered = work.withNumber(assigned);
                    running.put(key, new Running(assigned, numbered, payload, host, path));
                    return numbered;
                },
                payload);
    }

    private void itemFailed(String event, String batch, String item, String reason) {
        trace.line(PART, event)
                .with("batch", batch)
                .with("id", item)
                .with("reason", reason)
                .write();
    }

    private void commit(BatchAction.Commit commit) {
        BatchState head = commit.state();
        store.write(head, commit.version(), commit.firstPosition(), commit.results())
                .subscribe(
                        result -> committed(commit, result),
                        failure -> {
                            trace.line(PART, "commit-failed")
                                    .with("id", head.id())
                                    .with("version", commit.version())
                                    .with("results", commit.results().size())
                                    .with("reason", String.valueOf(failure.getMessage()))
                                    .write();
                            inbox.offer(
                                    new BatchEvent.CommitFailed(
                                            head.id(), String.valueOf(failure.getMessage())));
                        });
    }

    private void committed(BatchAction.Commit commit, RowChangeResult result) {
        BatchState head = commit.state();
        if (result instanceof RowChangeResult.Applied applied) {
            for (int i = 0; i < commit.results().size(); i++) {
                trace.sampled(PART, "listed")
                        .with("batch", head.id())
                        .with("id", commit.results().get(i).itemId())
                        .with("position", commit.firstPosition() + i)
                        .with("completed", String.valueOf(commit.results().get(i).completed()))
                        .write();
            }
            inbox.offer(new BatchEvent.Committed(head.id(), applied.version()));
        } else if (result instanceof RowChangeResult.Rejected rejected) {
            Option<VersionedState> present = BatchStore.head(rejected.currentRows());
            trace.line(PART, "commit-conflict")
                    .with("id", head.id())
                    .with("version", commit.version())
                    .with("present", present.map(VersionedState::version).getOrElse(0L))
                    .write();
            inbox.offer(new BatchEvent.Conflicted(head.id(), present));
        }
    }

    private record ItemKey(String batch, int item) {}

    private record Running(
            long number, ForwardCall work, ForwardCallHandler payload, String host, String path) {}
}
