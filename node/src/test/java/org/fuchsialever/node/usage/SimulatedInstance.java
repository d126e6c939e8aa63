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

/** One instance of a {@link UsageWorld}, with the duties and adapters of production. */
final class SimulatedInstance implements PeerMessages {
    final SimulatedTables tables;
    final SimulatedLeases leases = new SimulatedLeases();
    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final StartId start;
    boolean alive = true;

    private final UsageWorld world;
    private final FailureDomain domain;
    private final Gate<UsageEvent, UsageAction> usage;
    private final Gate<WindowCloserEvent, WindowCloserAction> closer;
    private final ActionSink<UsageEvent> usageEvents;
    private final Deque<Recorded> recent = new ArrayDeque<>();

    SimulatedInstance(UsageWorld world, StartId start, FailureDomain domain) {
        this.world = world;
        this.start = start;
        this.domain = domain;
        this.tables = new SimulatedTables(world.table, world.delays);
        long now = world.clock.nanoTime();
        usage = new Gate<>(new UsageDuty(start, domain, world.settings, now, 1 + world.phase()));
        Later<UsageEvent> usageLater = new Later<>();
        usageEvents =
                world.stepper.add(
                        usage, new UsageActions(tables, this, start.label(), meters, usageLater));
        usageLater.target = Option.some(usageEvents);
        closer =
                new Gate<>(
                        new WindowCloser(
                                world.settings,
                                UsageWorld.REQUEST_TIMEOUT,
                                new ReportJson(),
                                InvariantMonitor.throwing(),
                                now));
        Later<WindowCloserEvent> closerLater = new Later<>();
        CloserActions closerActions =
                new CloserActions(
                        tables,
                        world.receiver.seenBy(window -> () -> fencing(window)),
                        leases,
                        record -> true,
                        world.clock,
                        start.label(),
                        meters,
                        closerLater);
        closerLater.target = Option.some(world.stepper.add(closer, closerActions));
        closerActions.start();
    }

    /** Counts usage now. */
    void use(UsageKey key, UsageCounts figures) {
        usageEvents.emit(new UsageEvent.Used(world.clock.wallMillis(), key, figures));
        world.consumed = world.consumed.plus(figures);
        recent.add(new Recorded(world.clock.nanoTime(), figures));
    }

    void receive(PeerMessage.UsageHandover message) {
        if (alive) {
            usageEvents.emit(HandoverMessages.decode(message).get());
        }
    }

    void pause(boolean paused) {
        usage.pause(paused);
        closer.pause(paused);
    }

    /** Ends the instance at once; what it counted in the last moments may be lost. */
    void kill(Duration mayLose) {
        alive = false;
        usage.kill();
        closer.kill();
        tables.cutOff = true;
        long since = world.clock.nanoTime() - mayLose.toNanos();
        recent.stream()
                .filter(entry -> entry.nanos >= since)
                .forEach(entry -> world.mayBeLost = world.mayBeLost.plus(entry.figures));
    }

    private long fencing(String window) {
        long number =
                WindowId.parse(window).startMillis()
                        / world.settings.windowMillis()
                        % WindowCloser.ROLE_COUNT;
        return leases.held(WindowCloser.role((int) number)).get().fencing();
    }

    @Override
    public boolean send(InstanceId receiver, PeerMessage message) {
        world.deliver(receiver, (PeerMessage.UsageHandover) message);
        return true;
    }

    @Override
    public List<Member> members() {
        return world.instances.stream()
                .filter(other -> other != this && other.alive)
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

    private record Recorded(long nanos, UsageCounts figures) {}

    private static final class Later<E> implements ActionSink<E> {
        private Option<ActionSink<E>> target = Option.none();

        @Override
        public void emit(E event) {
            target.forEach(sink -> sink.emit(event));
        }
    }
}
