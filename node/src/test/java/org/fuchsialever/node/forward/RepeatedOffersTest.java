package org.fuchsialever.node.forward;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.ForwardEvent;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

/** A ring that is full when upstreams leave. */
class RepeatedOffersTest {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final ForwardEvent OTHER = new ForwardEvent.Cancelled(1);

    private final LoopResources mLoops = LoopResources.create("offers-test", 1, true);
    private final Inbox<ForwardEvent> mInbox = new Inbox<>(1, OverflowPolicy.REFUSE);
    private final RepeatedOffers mOffers =
            new RepeatedOffers(mInbox, (EventLoop) mLoops.onClient(true).next());

    @AfterEach
    void release() {
        mLoops.dispose();
    }

    /** Guards against an announcement that is lost because the duty is busy. */
    @Test
    void offersAnAnnouncementAgainUntilTheRingHasRoom() {
        mInbox.offer(OTHER);
        mOffers.offer(announced("a", 1));
        assertThat(taken(2), contains(OTHER, announced("a", 1)));
    }

    @Test
    void keepsTheFirstAnnouncementAndTheLastList() {
        mInbox.offer(OTHER);
        mOffers.offer(new ForwardEvent.FleetChanged(List.of(upstream("a"))));
        mOffers.offer(announced("a", 1));
        mOffers.offer(announced("a", 2));
        mOffers.offer(new ForwardEvent.FleetChanged(List.of(upstream("b"))));
        assertThat(
                taken(3),
                contains(
                        OTHER,
                        new ForwardEvent.FleetChanged(List.of(upstream("b"))),
                        announced("a", 1)));
    }

    private List<ForwardEvent> taken(int count) {
        List<ForwardEvent> events = new CopyOnWriteArrayList<>();
        await().atMost(PATIENCE)
                .until(
                        () -> {
                            ForwardEvent next = mInbox.poll();
                            if (next != null) {
                                events.add(next);
                            }
                            return events.size() == count;
                        });
        return events;
    }

    private static ForwardEvent.LeavingAnnounced announced(String id, long sinceNanos) {
        return new ForwardEvent.LeavingAnnounced(upstream(id), sinceNanos, 0);
    }

    private static FleetUpstream upstream(String id) {
        return new FleetUpstream(id, "s", "10.0.0.1", 80, "z", 1, true, Map.of(), 1);
    }
}
