package org.fuchsialever.node.version;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.decisions.batch.BatchContent;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.decisions.manifest.ServiceSpec;
import org.fuchsialever.decisions.version.EngineAssignment;
import org.fuchsialever.decisions.version.VersionDuty;
import org.fuchsialever.decisions.version.VersionEvent;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.DirectoryListener;
import org.fuchsialever.node.directory.StoreClock;
import org.fuchsialever.node.forward.EngineReports;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;

/** Has upstreams load the weight versions that trainers announce, under a lease. */
public final class VersionComponent implements Component {
    /** The role under which orders are sent. */
    static final String ROLE = "versions";

    private static final int RING_CAPACITY = 4_096;

    private EngineAssignment mAssignment = EngineAssignment.AUTO;

    @Override
    public String pluginName() {
        return "versions";
    }

    @Override
    public void configure(SettingsReader settings) {
        mAssignment =
                settings.choice(ROLE, "assignment", EngineAssignment.class, EngineAssignment.AUTO);
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                HostedServices.class,
                Directory.class,
                StoreClock.class,
                EngineReports.class,
                Leases.class,
                DrainSignal.class,
                TraceLog.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of();
    }

    @Override
    public void install(ComponentContext context) {
        Leases leases = context.require(Leases.class);
        TraceLog trace = context.require(TraceLog.class);
        Inbox<VersionEvent> inbox =
                context.startDutyWith(
                        new VersionDuty(mAssignment),
                        RING_CAPACITY,
                        OverflowPolicy.REFUSE,
                        ring ->
                                new VersionActions(
                                        context.require(HostedServices.class).orders(),
                                        leases,
                                        ring,
                                        trace,
                                        context.meters()));
        Directory directory = context.require(Directory.class);
        directory.addListener(listener(inbox));
        if (mAssignment != EngineAssignment.EQUAL) {
            directory.addListener(
                    new SubmissionWatch(
                            context.time(),
                            context.require(StoreClock.class)::millis,
                            inbox::offer));
            EngineReports reports = context.require(EngineReports.class);
            reports.addListener(service -> inbox.offer(new VersionEvent.SlowdownReported(service)));
            directory.addListener(
                    new EngineReportWatch(context.time(), reports::noteReporting, inbox::offer));
        }
        leases.request(
                ROLE,
                new Leases.LeaseListener() {
                    @Override
                    public void onAcquired(HeldLease lease) {
                        trace.line("versions", "role-gained")
                                .with("fencing", lease.fencing())
                                .write();
                        inbox.offer(new VersionEvent.RoleAcquired(lease.fencing()));
                    }

                    @Override
                    public void onLost(String role) {
                        trace.line("versions", "role-lost").write();
                        inbox.offer(new VersionEvent.RoleLost());
                    }
                });
        context.require(DrainSignal.class).onStart(() -> leases.release(ROLE));
    }

    private static DirectoryListener listener(Inbox<VersionEvent> inbox) {
        return new DirectoryListener() {
            private Option<Manifest> mManifest = Option.none();
            private List<FleetUpstream> mUpstreams = List.of();

            @Override
            public void onManifestChanged(Manifest newer) {
                mManifest = Option.some(newer);
                publish();
            }

            @Override
            public void onUpstreamsChanged(List<FleetUpstream> listed) {
                mUpstreams = listed;
                publish();
            }

            @Override
            public void onVersionNamed(String model, long version) {
                inbox.offer(new VersionEvent.VersionAnnounced(model, version));
            }

            @Override
            public void onBatchStatesChanged(List<VersionedState> states, List<String> removed) {
                for (VersionedState row : states) {
                    BatchContent content = row.state().content();
                    if (row.state().isOpen() && !content.model().isEmpty()) {
                        inbox.offer(
                                new VersionEvent.MinVersionRequested(
                                        content.model(), content.minVersion()));
                    }
                }
            }

            private void publish() {
                Map<String, List<String>> models = new HashMap<>();
                for (ServiceSpec service : mManifest.map(Manifest::services).getOrElse(List.of())) {
                    if (!service.models().isEmpty()) {
                        models.put(service.name(), service.models());
                    }
                }
                inbox.offer(new VersionEvent.FleetChanged(models, mUpstreams));
            }
        };
    }
}
