package org.fuchsialever.decisions.orders;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentEvent;
import org.fuchsialever.decisions.intent.IntentTiming;
import org.fuchsialever.decisions.intent.Journal;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.orders.ObservedUpstream.State;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.time.ManualTimeSource;

/** Runs an order duty against a simulated platform that responds immediately. */
final class PoolFixture {
    static final PoolName POOL = new PoolName("engines");
    static final List<FailureDomain> DOMAINS =
            List.of(new FailureDomain("a"), new FailureDomain("b"), new FailureDomain("c"));
    static final long SECOND = 1_000_000_000L;

    final Map<UpstreamId, ObservedUpstream> mUpstreams = new LinkedHashMap<>();
    final Set<CapacityPlacement> mUnavailable = new HashSet<>();
    final List<UpstreamCommand> mReceived = new ArrayList<>();
    final List<UpstreamId> mLeaving = new ArrayList<>();
    final List<CapacityPlacement> mRefused = new ArrayList<>();
    final DutyStepper mStepper = new DutyStepper(new ManualTimeSource(0));
    private final ActionSink<OrderEvent> mDuty;
    private long mVersion;

    PoolFixture(OrderPolicy policy) {
        mDuty =
                mStepper.add(
                        new OrderDuty(
                                POOL,
                                policy,
                                IntentTiming.standard(Duration.ofSeconds(10)),
                                new SplittableRandom(1),
                                0,
                                InvariantMonitor.throwing()),
                        this::execute);
        mDuty.emit(new OrderEvent.LimitsChanged(limits(2, 20)));
        mDuty.emit(new OrderEvent.RoleEvent(new IntentEvent.LeaseAcquired<>(1)));
    }

    static PlanLimits limits(int minimum, int maximum) {
        return new PlanLimits(minimum, maximum, 10, DOMAINS, 1, 0.35, 60);
    }

    static PoolDemand demand(double live, double batch) {
        return new PoolDemand(
                List.of(new TeamDemand(new TeamName("blue"), 1, live, batch)), List.of());
    }

    static CapacityPlacement placement(CapacityKind kind, String domain) {
        return new CapacityPlacement(kind, new FailureDomain(domain));
    }

    void setDemand(double live, double batch) {
        mDuty.emit(new OrderEvent.DemandObserved(demand(live, batch)));
    }

    void runSeconds(int seconds) {
        for (int i = 0; i < seconds; i++) {
            mStepper.advance(SECOND);
        }
    }

    void setState(UpstreamId id, State state) {
        mUpstreams.computeIfPresent(
                id, (key, known) -> new ObservedUpstream(id, known.placement(), state));
    }

    void startedUpstreamsServe() {
        List.copyOf(mUpstreams.values()).stream()
                .filter(upstream -> upstream.state() == State.STARTING)
                .forEach(upstream -> setState(upstream.id(), State.SERVING));
    }

    /** Simulates the announced reclaim of all cheap upstreams of a failure domain. */
    void reclaim(String domain) {
        CapacityPlacement placement = placement(CapacityKind.CHEAP, domain);
        mUnavailable.add(placement);
        List.copyOf(mUpstreams.values()).stream()
                .filter(upstream -> upstream.placement().equals(placement))
                .forEach(upstream -> setState(upstream.id(), State.LEAVING));
    }

    long count(CapacityKind kind, State state) {
        return mUpstreams.values().stream()
                .filter(each -> each.placement().kind() == kind && each.state() == state)
                .count();
    }

    private void execute(OrderAction action) {
        if (action instanceof OrderAction.ListUpstreams) {
            mDuty.emit(new OrderEvent.UpstreamsListed(List.copyOf(mUpstreams.values())));
        } else if (action instanceof OrderAction.PublishLeaving publish) {
            mLeaving.add(publish.upstream());
        } else if (action instanceof OrderAction.CapacityRefused refusal) {
            mRefused.add(refusal.placement());
        } else if (action instanceof OrderAction.RoleAction role) {
            execute(role.action());
        }
    }

    private void execute(IntentAction<UpstreamCommand> action) {
        if (action instanceof IntentAction.ReadJournal<UpstreamCommand> read) {
            emit(new IntentEvent.JournalRead<>(read.fencing(), Journal.absent()));
        } else if (action instanceof IntentAction.WriteJournal<UpstreamCommand> write) {
            emit(new IntentEvent.Committed<>(write.writer(), ++mVersion));
        } else if (action instanceof IntentAction.SendCommand<UpstreamCommand> order) {
            emit(
                    new IntentEvent.AttemptEnded<>(
                            order.fencing(),
                            order.intent().id(),
                            order.attempt(),
                            receive(order.intent().command())));
        }
    }

    private CommandResult receive(UpstreamCommand command) {
        mReceived.add(command);
        if (command.action() == UpstreamCommand.Action.STOP) {
            setState(command.upstream(), State.STOPPED);
            return CommandResult.DONE;
        }
        if (mUnavailable.contains(command.placement())) {
            return CommandResult.REFUSED;
        }
        mUpstreams.put(
                command.upstream(),
                new ObservedUpstream(command.upstream(), command.placement(), State.STARTING));
        return CommandResult.DONE;
    }

    private void emit(IntentEvent<UpstreamCommand> event) {
        mDuty.emit(new OrderEvent.RoleEvent(event));
    }
}
