package org.fuchsialever.node.directory;

import java.util.Set;
import org.fuchsialever.decisions.directory.DirectoryDuty;
import org.fuchsialever.decisions.directory.DirectoryEvent;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;

/** Mirrors the tables that operators, trainers, upstreams and instances write. */
public final class DirectoryComponent implements Component {
    /** Each table has at most one read in flight. */
    private static final int RING_CAPACITY = 64;

    @Override
    public String pluginName() {
        return "directory";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(HostedServices.class, TraceLog.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(Directory.class, ReadPace.class, StoreClock.class);
    }

    @Override
    public void install(ComponentContext context) {
        StoreClock clock = new StoreClock(context.time());
        Directory directory = new Directory(context.time(), clock);
        Inbox<DirectoryEvent> duty =
                context.startDutyWith(
                        new DirectoryDuty(context.random("directory")),
                        RING_CAPACITY,
                        OverflowPolicy.REFUSE,
                        inbox ->
                                new DirectoryActions(
                                        context.require(HostedServices.class),
                                        directory,
                                        clock,
                                        context.require(TraceLog.class),
                                        context.meters(),
                                        event -> offer(inbox, event)));
        context.provide(Directory.class, directory);
        context.provide(
                ReadPace.class,
                member -> {
                    directory.setMember(member);
                    offer(duty, new DirectoryEvent.MembershipChanged(member));
                });
        context.provide(StoreClock.class, clock);
    }

    private static void offer(Inbox<DirectoryEvent> inbox, DirectoryEvent event) {
        if (!inbox.offer(event)) {
            throw new IllegalStateException("the ring of the directory duty is full");
        }
    }
}
