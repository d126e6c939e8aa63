package org.fuchsialever.node.workingset;

import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.workingset.WorkingSetDuty;
import org.fuchsialever.decisions.workingset.WorkingSetEvent;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.DirectoryListener;
import org.fuchsialever.node.directory.ReadPace;
import org.fuchsialever.node.directory.StoreClock;
import org.fuchsialever.node.forward.EngineReports;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.node.lease.LeaseParticipation;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;

/** Has this instance join the working set while it has a free slot. */
public final class WorkingSetComponent implements Component {
    private static final String SECTION = "working-set";

    /** Slots change a few times a second each. */
    private static final int RING_CAPACITY = 256;

    private double mCores = 1;

    @Override
    public String pluginName() {
        return SECTION;
    }

    @Override
    public void configure(SettingsReader settings) {
        // A machine has a share of a core that is a number of times as fast as a usual one.
        mCores =
                settings.decimal(SECTION, "core-share", 1, 0, 1_000)
                        * settings.decimal(SECTION, "core-speed", 1, 0, 1_000);
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                HostedServices.class,
                Directory.class,
                ReadPace.class,
                StoreClock.class,
                LeaseParticipation.class,
                EngineReports.class,
                NodeIdentity.class,
                DrainSignal.class,
                TraceLog.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of();
    }

    @Override
    public void install(ComponentContext context) {
        NodeIdentity identity = context.require(NodeIdentity.class);
        LeaseParticipation leases = context.require(LeaseParticipation.class);
        leases.setActive(false);
        Inbox<WorkingSetEvent> inbox =
                context.startDutyWith(
                        new WorkingSetDuty(
                                identity.instance().value(),
                                identity.startId(),
                                mCores,
                                context.random(SECTION)),
                        RING_CAPACITY,
                        OverflowPolicy.REFUSE,
                        ring ->
                                new WorkingSetActions(
                                        context.require(HostedServices.class),
                                        identity,
                                        context.require(StoreClock.class),
                                        context.require(ReadPace.class),
                                        leases,
                                        context.require(TraceLog.class),
                                        context.require(EngineReports.class)::report,
                                        ring));
        context.require(Directory.class).addListener(listener(inbox));
        context.require(DrainSignal.class)
                .onStart(() -> inbox.offer(new WorkingSetEvent.Draining()));
    }

    private static DirectoryListener listener(Inbox<WorkingSetEvent> inbox) {
        return new DirectoryListener() {
            @Override
            public void onPresencesChanged(
                    List<Directory.VersionedPresence> changed, List<Integer> removed) {
                inbox.offer(
                        new WorkingSetEvent.SlotsChanged(
                                changed.stream()
                                        .map(
                                                row ->
                                                        WorkingSetActions.slot(
                                                                row.presence(), row.version()))
                                        .toList(),
                                removed));
            }

            @Override
            public void onPresencesCurrent() {
                inbox.offer(new WorkingSetEvent.SlotsCurrent());
            }
        };
    }
}
