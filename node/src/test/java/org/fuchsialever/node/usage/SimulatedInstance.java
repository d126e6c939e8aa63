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
    final SimulatedTables tables;
    final SimulatedLeases leases = new SimulatedLeases();
    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final StartId start;
    boolean running = true;

    private final UsageSimulation simulation;
    private final FailureDomain domain;
    private final PausableDuty<UsageEvent, UsageAction> usage;
    private final PausableDuty<WindowCloserEvent, WindowCloserAction> closer;
    private final ActionSink<UsageEvent> usageEvents;
    private final Deque<Recorded> recent = new ArrayDeque<>();

    SimulatedInstance(UsageSimulation simulation, StartId start, FailureDomain domain) {
        this.simulation = simulation;
        this.start = start;
        this.domain = domain;
        this.tables = new SimulatedTables(simulation.table, simulation.timers);
        long now = simulation.clock.nanoTime();
        usage =
                new PausableDuty<>(
                        new UsageDuty(
                                start,
                                domain,
                                simulation.settings,
                                now,
                                1 + simulation.randomCommitPhase()));
        DeferredSink<UsageEvent> usageSink = new DeferredSink<>();
        usageEvents =
                simulation.stepper.add(
                        usage, new UsageActions(tables, this, start.label(), meters, usageSink));
        usageSink.target = Option.some(usageEvents);
        closer =
                new PausableDuty<>(
                        new WindowCloser(
                                simulation.settings,
                                UsageSimulation.REQUEST_TIMEOUT,
                                new ReportJson(),
                                InvariantMonitor.throwing(),
                                now));
        DeferredSink<WindowCloserEvent> closerSink = new DeferredSink<>();
        WindowCloserActions closerActions =
                new WindowCloserActions(
                        tables,
                        simulation.receiver.serviceFor(window -> () -> fencing(window)),
                        leases,
                        record -> true,
                        simulation.clock,
                        start.label(),
                        meters,
                        closerSink);
        closerSink.target = Option.some(simulation.stepper.add(closer, closerActions));
        closerActions.start();
    }

    /** Records usage at the current time. */
    void recordUsage(UsageKey key, UsageCounts counts) {
        usageEvents.emit(new UsageEvent.Used(simulation.clock.wallMillis(), key, counts));
        simulation.consumed = simulation.consumed.plus(counts);
        recent.add(new Recorded(simulation.clock.nanoTime(), counts));
    }

    void receive(PeerMessage.UsageHandover message) {
        if (running) {
            usageEvents.emit(HandoverMessages.decode(message).get());
        }
    }

    void pause(boolean paused) {
        usage.pause(paused);
        closer.pause(paused);
    }

    /** Crashes the instance; usage recorded within the given time before may be lost. */
    void kill(Duration lossBound) {
        running = false;
        usage.kill();
        closer.kill();
        tables.unreachable = true;
        long since = simulation.clock.nanoTime() - lossBound.toNanos();
        recent.stream()
                .filter(entry -> entry.nanos >= since)
                .forEach(
                        entry ->
                                simulation.possibleLoss =
                                        simulation.possibleLoss.plus(entry.counts));
    }

    private long fencing(String window) {
        long number =
                WindowId.parse(window).startMillis()
                        / simulation.settings.windowMillis()
                        % WindowCloser.ROLE_COUNT;
        return leases.held(WindowCloser.role((int) number)).get().fencing();
    }

    @Override
    public boolean send(InstanceId receiver, PeerMessage message) {
        simulation.deliver(receiver, (PeerMessage.UsageHandover) message);
        return true;
    }

    @Override
    public List<Member> members() {
        return simulation.instances.stream()
                .filter(other -> other != this && other.running)
                .map(SimulatedInstance::member)
                .toList();
    }

    private Member member() {
        return new Member(start.instance(), "r1", domain, 1, MemberState.ALIVE);
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
        private Option<ActionSink<E>> target = Option.none();

        @Override
        public void emit(E event) {
            target.forEach(sink -> sink.emit(event));
        }
    }
}
