package org.fuchsialever.node.lease;

import java.time.Duration;
import java.util.Set;
import org.fuchsialever.decisions.lease.LeaseDuty;
import org.fuchsialever.decisions.lease.LeaseEvent;
import org.fuchsialever.decisions.lease.LeaseTiming;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.services.TableService;

/** Provides leases of roles, which are stored in the table service. */
public final class LeaseComponent implements Component {
    /** Roles are requested at the start; later at most one read and one write are in flight. */
    private static final int RING_CAPACITY = 1_024;

    private LeaseTiming mTiming = LeaseTiming.standard();

    @Override
    public String pluginName() {
        return "leases";
    }

    @Override
    public void configure(SettingsReader settings) {
        long bound = settings.duration("leases", "takeover-bound", Duration.ZERO).toNanos();
        LeaseTiming standard = bound > 0 ? LeaseTiming.within(bound) : LeaseTiming.standard();
        mTiming =
                new LeaseTiming(
                        nanos(settings, "duration", standard.duration()),
                        nanos(settings, "renewal", standard.renewalInterval()),
                        nanos(settings, "poll", standard.pollInterval()));
    }

    private static long nanos(SettingsReader settings, String key, long standard) {
        return settings.duration("leases", key, Duration.ofNanos(standard)).toNanos();
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(NodeIdentity.class, TableService.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(Leases.class, LeaseParticipation.class);
    }

    @Override
    public void install(ComponentContext context) {
        NodeIdentity identity = context.require(NodeIdentity.class);
        LeaseService service =
                new LeaseService(
                        context.require(TableService.class), context.time(), context.meters());
        LeaseDuty duty =
                new LeaseDuty(
                        identity.instance(), identity.startId(), mTiming, context.random("lease"));
        Inbox<LeaseEvent> inbox =
                context.startDuty(duty, RING_CAPACITY, OverflowPolicy.REFUSE, service);
        service.connect(event -> offer(inbox, event));
        context.provide(Leases.class, service);
        context.provide(
                LeaseParticipation.class,
                active -> offer(inbox, new LeaseEvent.ParticipationChanged(active)));
    }

    private static void offer(Inbox<LeaseEvent> inbox, LeaseEvent event) {
        if (!inbox.offer(event)) {
            throw new IllegalStateException("the ring of the lease duty is full");
        }
    }
}
