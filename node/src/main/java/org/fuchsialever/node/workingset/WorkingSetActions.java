package org.fuchsialever.node.workingset;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.decisions.version.EngineReport;
import org.fuchsialever.decisions.workingset.MemberSlot;
import org.fuchsialever.decisions.workingset.WorkingSetAction;
import org.fuchsialever.decisions.workingset.WorkingSetEvent;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.directory.Presence;
import org.fuchsialever.node.directory.ReadPace;
import org.fuchsialever.node.directory.StoreClock;
import org.fuchsialever.node.lease.LeaseParticipation;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;
import org.fuchsialever.services.rows.RowChange;
import org.fuchsialever.services.rows.RowChangeResult;
import org.fuchsialever.services.rows.RowKey;
import org.fuchsialever.services.rows.StoredRow;

/** Writes slots of the working set and tells other components of the membership. */
final class WorkingSetActions implements ActionSink<WorkingSetAction> {
    private static final String PART = "working-set";

    /** What is told about engines is in some heartbeats only, to save bytes of the store. */
    private static final int REPORT_INTERVAL_HEARTBEATS = 6;

    /** Members read slots about once per heartbeat and may miss one. */
    private static final int REPORT_HEARTBEATS = 2;

    private final HostedServices mServices;
    private final NodeIdentity mIdentity;
    private final StoreClock mClock;
    private final ReadPace mPace;
    private final LeaseParticipation mLeases;
    private final TraceLog mTrace;
    private final Supplier<EngineReport> mEngines;
    private final Inbox<WorkingSetEvent> mInbox;
    private int mHeartbeats;

    WorkingSetActions(
            HostedServices services,
            NodeIdentity identity,
            StoreClock clock,
            ReadPace pace,
            LeaseParticipation leases,
            TraceLog trace,
            Supplier<EngineReport> engines,
            Inbox<WorkingSetEvent> inbox) {
        mServices = services;
        mIdentity = identity;
        mClock = clock;
        mPace = pace;
        mLeases = leases;
        mTrace = trace;
        mEngines = engines;
        mInbox = inbox;
    }

    @Override
    public void emit(WorkingSetAction action) {
        if (action instanceof WorkingSetAction.WriteSlot write) {
            write(write);
        } else if (action instanceof WorkingSetAction.MembershipChanged changed) {
            mTrace.line(PART, changed.member() ? "joined" : "left").write();
            mPace.setMember(changed.member());
            mLeases.setActive(changed.member());
        }
    }

    private void write(WorkingSetAction.WriteSlot write) {
        int slot = write.slot();
        RowKey key =
                new RowKey(
                        mServices.directory().tableName(DirectoryTable.INSTANCES),
                        Presence.key(slot));
        // Slots are written after they have been read, so the time of the store is known.
        Presence presence =
                new Presence(
                        slot,
                        mIdentity.instance().value(),
                        mIdentity.startId(),
                        mClock.millis().getOrElse(0L),
                        write.leaving(),
                        engineReport());
        mServices
                .rows()
                .change(
                        new RowChange(
                                Map.of(key, write.version()),
                                Map.of(key, presence.encode()),
                                List.of()))
                .subscribe(
                        result -> mInbox.offer(event(slot, key, result)),
                        failure -> {
                            mTrace.sampled(PART, "heartbeat-failed")
                                    .with("slot", slot)
                                    .with("reason", String.valueOf(failure.getMessage()))
                                    .write();
                            mInbox.offer(new WorkingSetEvent.WriteFailed(slot));
                        });
    }

    private EngineReport engineReport() {
        EngineReport report = mHeartbeats < REPORT_HEARTBEATS ? mEngines.get() : EngineReport.NONE;
        boolean waits = mHeartbeats == 0 && report.equals(EngineReport.NONE);
        mHeartbeats = waits ? 0 : (mHeartbeats + 1) % REPORT_INTERVAL_HEARTBEATS;
        return report;
    }

    private static WorkingSetEvent event(int slot, RowKey key, RowChangeResult result) {
        if (result instanceof RowChangeResult.Applied applied) {
            return new WorkingSetEvent.Written(slot, applied.version());
        }
        RowChangeResult.Rejected rejected = (RowChangeResult.Rejected) result;
        Option<MemberSlot> current = Option.none();
        for (StoredRow row : rejected.currentRows()) {
            if (row.key().equals(key) && !row.removed()) {
                current =
                        Presence.decode(key.key(), row.value())
                                .toOption()
                                .map(presence -> slot(presence, row.version()));
            }
        }
        return new WorkingSetEvent.Conflicted(slot, current);
    }

    static MemberSlot slot(Presence presence, long version) {
        return new MemberSlot(
                presence.slot(),
                presence.instance(),
                presence.start(),
                presence.leaving(),
                version);
    }
}
