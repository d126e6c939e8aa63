package org.fuchsialever.node.batch;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.batch.BatchAction;
import org.fuchsialever.decisions.batch.BatchEvent;
import org.fuchsialever.decisions.batch.BatchEvent.OpenedBatch;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.BatchSpec;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.batch.LoadedBatch;
import org.fuchsialever.decisions.batch.OpenText;
import org.fuchsialever.decisions.batch.PartialText;
import org.fuchsialever.decisions.batch.TextSegment;
import org.fuchsialever.decisions.forward.CallTraits;
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
import org.fuchsialever.node.forward.ForwardPort;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.rows.RowChangeResult;
import reactor.core.publisher.Mono;

/** Executes the actions of the batch duty: upstream calls and writes to the store. */
final class BatchActions implements ActionSink<BatchAction> {
    private static final String PART = "batch";

    private final BatchStore mStore;
    private final TextKeeper mTextKeeper;
    private final Directory mDirectory;
    private final ForwardPort mForward;
    private final UpstreamProtocol mProtocol;
    private final Inbox<BatchEvent> mInbox;
    private final TimeSource mTime;
    private final StoreClock mClock;
    private final TraceLog mTrace;
    private final Runnable mOnDrained;
    private final ItemCalls mCalls;

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
        mStore = store;
        mTextKeeper = new TextKeeper(store, trace);
        mDirectory = directory;
        mForward = forward;
        mProtocol = protocol;
        mInbox = inbox;
        mTime = time;
        mClock = clock;
        mTrace = trace;
        mOnDrained = onDrained;
        mCalls = new ItemCalls(directory::manifest, forward, trace);
    }

    @Override
    public void emit(BatchAction action) {
        if (action instanceof BatchAction.Claim claim) {
            claim(claim);
        } else if (action instanceof BatchAction.Open open) {
            opened(open.batch(), route(open.batch().state()));
        } else if (action instanceof BatchAction.Generate generate) {
            generate(generate);
        } else if (action instanceof BatchAction.Score score) {
            score(score);
        } else if (action instanceof BatchAction.Stop stop) {
            mCalls.stop(new ItemCalls.Key(stop.id(), stop.item()));
        } else if (action instanceof BatchAction.KeepTexts keep) {
            keepTexts(keep);
        } else if (action instanceof BatchAction.Commit commit) {
            commit(commit);
        } else if (action instanceof BatchAction.Closed closed) {
            mTrace.line(PART, "closed")
                    .with("id", closed.id())
                    .with("reason", closed.reason())
                    .write();
        } else if (action instanceof BatchAction.WeighTeams weigh) {
            mForward.weighTeams(weigh.weights());
        } else if (action instanceof BatchAction.Drained) {
            mOnDrained.run();
        }
    }

    /** Applies a newer manifest to the running calls. */
    void reroute(Manifest manifest) {
        mCalls.reroute(manifest);
    }

    private void keepTexts(BatchAction.KeepTexts keep) {
        List<TextSegment> segments = new ArrayList<>(keep.reported());
        for (OpenText open : keep.open()) {
            mCalls.withGeneration(
                    new ItemCalls.Key(keep.id(), open.item()),
                    run -> segments.addAll(segments(open, run.eventsFrom(open.nextEvent()))));
        }
        mTextKeeper.keep(keep.id(), keep.model(), segments);
    }

    /** Links the events that only a run knows to those that the owner knows. */
    static List<TextSegment> segments(OpenText open, List<TextProgress> parts) {
        List<TextSegment> segments = new ArrayList<>();
        String continues = open.continues();
        for (TextProgress part : parts) {
            segments.add(
                    new TextSegment(
                            open.itemId(),
                            part.firstEvent(),
                            open.run(),
                            continues,
                            part.events(),
                            part.versions()));
            continues = open.run();
        }
        return segments;
    }

    /** Opens a submission that this instance owns, with the stored texts of its items. */
    void open(BatchState state, long version, BatchSpec spec, Set<String> listed) {
        if (spec.model().isEmpty()) {
            loaded(new LoadedBatch(state, version, spec, listed, Map.of()));
            return;
        }
        mStore.texts(spec.model())
                .onErrorResume(
                        PlatformException.class,
                        failure -> {
                            // Without them the items are generated from the start.
                            mTrace.line(PART, "texts-unknown")
                                    .with("id", state.id())
                                    .with("reason", String.valueOf(failure.getMessage()))
                                    .write();
                            return Mono.just(Map.of());
                        })
                .subscribe(
                        texts -> {
                            Map<String, PartialText> stored = new HashMap<>();
                            for (BatchItem item : spec.items()) {
                                PartialText text = texts.get(item.id());
                                if (text != null && !listed.contains(item.id())) {
                                    stored.put(item.id(), text);
                                }
                            }
                            loaded(new LoadedBatch(state, version, spec, listed, stored));
                        });
    }

    private void loaded(LoadedBatch batch) {
        Option<ForwardRoute> route = route(batch.state());
        if (route.isDefined()) {
            opened(batch, route);
            return;
        }
        mTrace.line(PART, "route-missing")
                .with("id", batch.state().id())
                .with("manifest", mDirectory.manifest().map(Manifest::version).getOrElse(0L))
                .write();
        mInbox.offer(new BatchEvent.RouteMissing(batch));
    }

    private Option<ForwardRoute> route(BatchState state) {
        return mDirectory.manifest().flatMap(m -> m.route(state.host(), state.path()));
    }

    private void opened(LoadedBatch batch, Option<ForwardRoute> route) {
        BatchState state = batch.state();
        BatchSpec spec = batch.spec();
        long due = route.map(ForwardRoute::dueAfterMillis).getOrElse(0L);
        long giveUp = route.map(ForwardRoute::abandonAfterMillis).getOrElse(0L);
        // The state was read from the store, so the store's time is normally known.
        long age = mClock.millis().getOrElse(state.submittedMillis()) - state.submittedMillis();
        long giveUpNanos =
                giveUp <= 0
                        ? Duty.NO_TIMER
                        : mTime.nanoTime() + TimeUnit.MILLISECONDS.toNanos(giveUp - age);
        StepPool pool = StepPool.of(mDirectory, mForward, route, spec);
        mTrace.line(PART, "opened")
                .with("id", state.id())
                .with("model", spec.model())
                .with("step", spec.step())
                .with("minVersion", spec.minVersion())
                .with("items", spec.items().size())
                .with("listed", batch.finishedItems().size())
                .with("texts", batch.storedTexts().size())
                .with("ageMillis", age)
                .with("epoch", state.epoch())
                .with("order", pool.order().name())
                .write();
        mInbox.offer(
                new BatchEvent.Opened(
                        new OpenedBatch(
                                state,
                                batch.version(),
                                spec,
                                batch.finishedItems(),
                                state.submittedMillis() + due,
                                giveUpNanos,
                                route.exists(ForwardRoute::singleVersion),
                                batch.storedTexts(),
                                pool.order(),
                                pool.slots(),
                                mTime.nanoTime() + TimeUnit.MILLISECONDS.toNanos(due - age))));
    }

    /** Has the duty watch whether the instance that a submission was assigned to starts it. */
    void watchStart(String id) {
        mInbox.offer(new BatchEvent.Placed(id));
    }

    private void claim(BatchAction.Claim claim) {
        BatchState state = claim.state();
        mTrace.line(PART, "claim")
                .with("id", state.id())
                .with("reason", claim.reason())
                .with("epoch", state.epoch())
                .write();
        mStore.write(state, claim.version(), state.resultCount(), List.of())
                .flatMap(result -> load(state, result))
                .subscribe(
                        done -> {},
                        failure ->
                                mInbox.offer(
                                        new BatchEvent.ClaimFailed(
                                                state.id(), String.valueOf(failure.getMessage()))));
    }

    private Mono<Boolean> load(BatchState state, RowChangeResult result) {
        if (!(result instanceof RowChangeResult.Applied applied)) {
            mInbox.offer(new BatchEvent.ClaimFailed(state.id(), "claimed by another instance"));
            return Mono.just(false);
        }
        return Mono.zip(mStore.spec(state), mStore.listedItems(state.id()))
                .map(
                        loaded -> {
                            open(state, applied.version(), loaded.getT1(), loaded.getT2());
                            return true;
                        });
    }

    private void generate(BatchAction.Generate generate) {
        BatchSpec spec = generate.spec();
        BatchState state = generate.state();
        int index = generate.item();
        BatchItem item = spec.items().get(index);
        ItemCalls.Key key = new ItemCalls.Key(spec.id(), index);
        ItemCalls.Routing routing =
                manifest -> manifest.itemRoute(state.host(), item.path(), state.path());
        Option<ForwardRoute> route = mCalls.route(routing);
        if (route.isEmpty()) {
            mInbox.offer(new BatchEvent.GenerationFailed(spec.id(), index));
            return;
        }
        ItemGenerationHandler handler =
                new ItemGenerationHandler(
                        item,
                        state.host(),
                        state.team(),
                        ItemCalls.timeLimitMillis(route.get()),
                        mProtocol,
                        generate.beginning(),
                        mTime,
                        part ->
                                mInbox.offer(
                                        new BatchEvent.Progressed(
                                                spec.id(),
                                                index,
                                                generate.run(),
                                                part.firstEvent(),
                                                part.events(),
                                                part.versions())),
                        reason -> itemFailed("text-dropped", spec.id(), item.id(), reason),
                        (text, versions) -> {
                            mCalls.ended(key);
                            mInbox.offer(
                                    new BatchEvent.Generated(spec.id(), index, text, versions));
                        },
                        reason -> {
                            mCalls.ended(key);
                            generationEnded(spec.id(), item.id(), index, reason);
                        });
        ForwardCall forwardCall =
                new ForwardCall(
                        0,
                        ForwardCallKind.ITEM,
                        route.get().shares(),
                        true,
                        route.get().maxAttempts(),
                        spec.model(),
                        spec.minVersion(),
                        item.group(),
                        traits(spec, state.team(), route.get(), item.expectedTokens()),
                        generate.queueRank(),
                        generate.expectedLong(),
                        mTime.nanoTime(),
                        Duty.NO_TIMER,
                        Duty.NO_TIMER);
        mCalls.start(key, routing, forwardCall, handler);
    }

    private CallTraits traits(BatchSpec spec, String team, ForwardRoute route, long tokens) {
        int rank = mDirectory.rank(route, team);
        return new CallTraits(team, rank, tokens, 1.0 / spec.items().size(), 0, 0);
    }

    private void score(BatchAction.Score score) {
        String id = score.spec().id();
        int index = score.item();
        String itemId = score.spec().items().get(index).id();
        ItemCalls.Key key = new ItemCalls.Key(id, index);
        ItemCalls.Routing routing =
                manifest -> manifest.route(score.call().host(), score.call().path());
        Option<ForwardRoute> route = mCalls.route(routing);
        if (route.isEmpty()) {
            defer(id, itemId, index, "NO_ROUTE");
            return;
        }
        ItemScoringHandler handler =
                new ItemScoringHandler(
                        score.call(),
                        route.get().timeoutMillis(),
                        mProtocol,
                        signature -> {
                            mCalls.ended(key);
                            mInbox.offer(new BatchEvent.Scored(id, index, signature));
                        },
                        reason -> {
                            mCalls.ended(key);
                            scoringEnded(id, itemId, index, reason);
                        });
        ForwardCall forwardCall =
                new ForwardCall(
                        0,
                        ForwardCallKind.SCORE,
                        route.get().shares(),
                        true,
                        route.get().maxAttempts(),
                        "",
                        0,
                        "",
                        traits(score.spec(), score.team(), route.get(), 0),
                        score.queueRank(),
                        false,
                        mTime.nanoTime(),
                        Duty.NO_TIMER,
                        TimeUnit.MILLISECONDS.toNanos(route.get().targetLatencyMillis()));
        mCalls.start(key, routing, forwardCall, handler);
    }

    private void generationEnded(String id, String itemId, int index, ForwardRefusal reason) {
        if (reason == ForwardRefusal.OVERLOADED) {
            defer(id, itemId, index, reason.name());
        } else {
            itemFailed("generation-failed", id, itemId, reason.name());
            mInbox.offer(new BatchEvent.GenerationFailed(id, index));
        }
    }

    private void scoringEnded(String id, String itemId, int index, ForwardRefusal reason) {
        // The end of the route of its scoring call does not end an item.
        if (reason.isNotRun()) {
            defer(id, itemId, index, reason.name());
        } else {
            itemFailed("scoring-failed", id, itemId, reason.name());
            mInbox.offer(new BatchEvent.ScoringFailed(id, index));
        }
    }

    private void defer(String id, String itemId, int index, String reason) {
        mTrace.sampled(PART, "item-deferred")
                .with("batch", id)
                .with("id", itemId)
                .with("reason", reason)
                .write();
        mInbox.offer(new BatchEvent.Deferred(id, index));
    }

    private void itemFailed(String event, String batch, String item, String reason) {
        mTrace.line(PART, event)
                .with("batch", batch)
                .with("id", item)
                .with("reason", reason)
                .write();
    }

    private void commit(BatchAction.Commit commit) {
        BatchState state = commit.state();
        mStore.write(
                        state,
                        commit.version(),
                        commit.firstPosition(),
                        commit.results(),
                        commit.texts())
                .subscribe(
                        result -> committed(commit, result),
                        failure -> {
                            mTrace.line(PART, "commit-failed")
                                    .with("id", state.id())
                                    .with("version", commit.version())
                                    .with("results", commit.results().size())
                                    .with("reason", String.valueOf(failure.getMessage()))
                                    .write();
                            mInbox.offer(
                                    new BatchEvent.CommitFailed(
                                            state.id(), String.valueOf(failure.getMessage())));
                        });
    }

    private void committed(BatchAction.Commit commit, RowChangeResult result) {
        BatchState state = commit.state();
        if (result instanceof RowChangeResult.Applied applied) {
            for (int i = 0; i < commit.results().size(); i++) {
                mTrace.sampled(PART, "listed")
                        .with("batch", state.id())
                        .with("id", commit.results().get(i).itemId())
                        .with("position", commit.firstPosition() + i)
                        .with("completed", String.valueOf(commit.results().get(i).completed()))
                        .write();
            }
            mInbox.offer(new BatchEvent.Committed(state.id(), applied.version()));
        } else if (result instanceof RowChangeResult.Rejected rejected) {
            Option<VersionedState> present = BatchStore.batchState(rejected.currentRows());
            mTrace.line(PART, "commit-conflict")
                    .with("id", state.id())
                    .with("version", commit.version())
                    .with("present", present.map(VersionedState::version).getOrElse(0L))
                    .write();
            mInbox.offer(new BatchEvent.Conflicted(state.id(), present));
        }
    }
}
