package org.fuchsialever.node.usage;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.decisions.membership.MemberState;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.usage.StartId;
import org.fuchsialever.decisions.usage.UsageAction;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.UsageDuty;
import org.fuchsialever.decisions.usage.UsageEvent;
import org.fuchsialever.decisions.usage.UsageKey;
import org.fuchsialever.decisions.usage.WindowCloser;
import org.fuchsialever.decisions.usage.WindowCloserAction;
import org.fuchsialever.decisions.usage.WindowCloserEvent;
import org.fuchsialever.decisions.usage.WindowId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.node.peers.PeerMessages;

/** One instance of a {@link UsageSimulation}, with the production duties and actions. */
final class SimulatedInstance implements PeerMessages {
    final SimulatedTables mTables;
    final SimulatedLeases mLeases = new SimulatedLeases();
    final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
    final StartId mStart;
    boolean mRunning = true;

    private final UsageSimulation mSimulation;
    private final FailureDomain mDomain;
    private final PausableDuty<UsageEvent, UsageAction> mUsage;
    private final PausableDuty<WindowCloserEvent, WindowCloserAction> mCloser;
    private final ActionSink<UsageEvent> mUsageEvents;
    private final Deque<Recorded> mRecent = new ArrayDeque<>();

    SimulatedInstance(UsageSimulation simulation, StartId start, FailureDomain domain) {
        mSimulation = simulation;
        mStart = start;
        mDomain = domain;
        mTables = new SimulatedTables(simulation.mTable, simulation.mTimers);
        long now = simulation.mClock.nanoTime();
        mUsage =
                new PausableDuty<>(
                        new UsageDuty(
                                start,
                                domain,
                                simulation.mSettings,
                                now,
                                1 + simulation.randomCommitPhase()));
        DeferredSink<UsageEvent> usageSink = new DeferredSink<>();
        mUsageEvents =
                simulation.mStepper.add(
                        mUsage, new UsageActions(mTables, this, start.label(), mMeters, usageSink));
        usageSink.mTarget = Option.some(mUsageEvents);
        mCloser =
                new PausableDuty<>(
                        new WindowCloser(
                                simulation.mSettings,
                                UsageSimulation.REQUEST_TIMEOUT,
                                new ReportJson(),
                                InvariantMonitor.throwing(),
                                now));
        DeferredSink<WindowCloserEvent> closerSink = new DeferredSink<>();
        WindowCloserActions closerActions =
                new WindowCloserActions(
                        mTables,
                        simulation.mReceiver.serviceFor(window -> () -> fencing(window)),
                        mLeases,
                        record -> true,
                        simulation.mClock,
                        start.label(),
                        mMeters,
                        closerSink);
        closerSink.mTarget = Option.some(simulation.mStepper.add(mCloser, closerActions));
        closerActions.start();
    }

    /** Records usage at the current time. */
    void recordUsage(UsageKey key, UsageCounts counts) {
        mUsageEvents.emit(new UsageEvent.Used(mSimulation.mClock.wallMillis(), key, counts));
        mSimulation.mConsumed = mSimulation.mConsumed.plus(counts);
        mRecent.add(new Recorded(mSimulation.mClock.nanoTime(), counts));
    }

    void receive(PeerMessage.UsageHandover message) {
        if (mRunning) {
            mUsageEvents.emit(HandoverMessages.decode(message).get());
        }
    }

    void pause(boolean paused) {
        mUsage.pause(paused);
        mCloser.pause(paused);
    }

    /** Crashes the instance; usage recorded within the given time before may be lost. */
    void kill(Duration lossBound) {
        mRunning = false;
        mUsage.kill();
        mCloser.kill();
        mTables.mUnreachable = true;
        long since = mSimulation.mClock.nanoTime() - lossBound.toNanos();
        mRecent.stream()
                .filter(entry -> entry.nanos >= since)
                .forEach(
                        entry ->
                                mSimulation.mPossibleLoss =
                                        mSimulation.mPossibleLoss.plus(entry.counts));
    }

    private long fencing(String window) {
        long number =
                WindowId.parse(window).startMillis()
                        / mSimulation.mSettings.windowMillis()
                        % WindowCloser.ROLE_COUNT;
        return mLeases.held(WindowCloser.role((int) number)).get().fencing();
    }

    @Override
    public boolean send(InstanceId receiver, PeerMessage message) {
        mSimulation.deliver(receiver, (PeerMessage.UsageHandover) message);
        return true;
    }

    @Override
    public List<Member> members() {
        return mSimulation.mInstances.stream()
                .filter(other -> other != this && other.mRunning)
                .map(SimulatedInstance::member)
                .toList();
    }

    private Member member() {
        return new Member(mStart.instance(), "r1", mDomain, 1, MemberState.ALIVE);
    }

    @Override
    public void broadcast(PeerMessage message) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void gossip(PeerMessage message) {
        throw new UnsupportedOperationException();
    }

    @Override
    public <M extends PeerMessage> void subscribe(Class<M> type, Handler<M> handler) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean isIsolated() {
        return false;
    }

    @Override
    public void announceVersions(long configVersion, long keyVersion) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void leave() {
        throw new UnsupportedOperationException();
    }

    private record Recorded(long nanos, UsageCounts counts) {}

    private static final class DeferredSink<E> implements ActionSink<E> {
        private Option<ActionSink<E>> mTarget = Option.none();

        @Override
        public void emit(E event) {
            mTarget.forEach(sink -> sink.emit(event));
        }
    }
}
