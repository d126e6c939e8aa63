package org.fuchsialever.node.keys;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.decisions.keys.KeyTable;
import org.fuchsialever.decisions.keys.KeyView;
import org.fuchsialever.decisions.model.KeyId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that keep running after their key was withdrawn. */
class KeyViewsTest {
    private static final KeyId KEY = new KeyId("a");
    private static final KeyId OTHER = new KeyId("b");

    private final KeyViews views = new KeyViews();
    private final AtomicInteger ended = new AtomicInteger();

    @BeforeEach
    void publishUsableView() {
        views.publish(view(Set.of(), true));
    }

    @Test
    void endsEachRunningCallOfAKeyOnce() {
        views.register(KEY, ended::incrementAndGet);
        views.register(KEY, ended::incrementAndGet);
        views.register(OTHER, ended::incrementAndGet);

        assertThat(views.endCalls(KEY), is(2));
        assertThat(views.endCalls(KEY), is(0));
        assertThat(ended.get(), is(2));
    }

    @Test
    void endsNoCallThatIsOver() throws Exception {
        AutoCloseable registration = views.register(KEY, ended::incrementAndGet);
        registration.close();
        registration.close();

        assertThat(views.endCalls(KEY), is(0));
    }

    @Test
    void endsACallThatIsRegisteredAfterTheWithdrawalOfItsKey() {
        views.publish(view(Set.of(KEY), true));
        views.register(KEY, ended::incrementAndGet);

        assertThat(ended.get(), is(1));
    }

    @Test
    void endsACallThatIsRegisteredWhileWithdrawalsCannotBeLearnt() {
        views.publish(view(Set.of(), false));
        views.register(KEY, ended::incrementAndGet);

        assertThat(ended.get(), is(1));
    }

    @Test
    void endsCallsOfAllKeysTogether() {
        views.register(KEY, ended::incrementAndGet);
        views.register(OTHER, ended::incrementAndGet);

        assertThat(views.endAllCalls(), is(2));
    }

    @Test
    void confirmsAWithdrawalOnlyWhenItIsInForce() {
        views.whenWithdrawn(KEY).subscribe(done -> {}, e -> {}, ended::incrementAndGet);
        views.publish(view(Set.of(OTHER), true));
        assertThat(ended.get(), is(0));
        views.publish(view(Set.of(KEY), true));

        assertThat(ended.get(), is(1));
    }

    private static KeyView view(Set<KeyId> withdrawals, boolean usable) {
        return new KeyView(new KeyTable(List.of(), withdrawals), 1, usable);
    }
}
