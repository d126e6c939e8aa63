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

    private final KeyViews mViews = new KeyViews();
    private final AtomicInteger mEnded = new AtomicInteger();

    @BeforeEach
    void publishUsableView() {
        mViews.publish(view(Set.of(), true));
    }

    @Test
    void endsEachRunningCallOfAKeyOnce() {
        mViews.register(KEY, mEnded::incrementAndGet);
        mViews.register(KEY, mEnded::incrementAndGet);
        mViews.register(OTHER, mEnded::incrementAndGet);

        assertThat(mViews.endCalls(KEY), is(2));
        assertThat(mViews.endCalls(KEY), is(0));
        assertThat(mEnded.get(), is(2));
    }

    @Test
    void endsNoCallThatIsOver() throws Exception {
        AutoCloseable registration = mViews.register(KEY, mEnded::incrementAndGet);
        registration.close();
        registration.close();

        assertThat(mViews.endCalls(KEY), is(0));
    }

    @Test
    void endsACallThatIsRegisteredAfterTheWithdrawalOfItsKey() {
        mViews.publish(view(Set.of(KEY), true));
        mViews.register(KEY, mEnded::incrementAndGet);

        assertThat(mEnded.get(), is(1));
    }

    @Test
    void endsACallThatIsRegisteredWhileWithdrawalsCannotBeLearnt() {
        mViews.publish(view(Set.of(), false));
        mViews.register(KEY, mEnded::incrementAndGet);

        assertThat(mEnded.get(), is(1));
    }

    @Test
    void endsCallsOfAllKeysTogether() {
        mViews.register(KEY, mEnded::incrementAndGet);
        mViews.register(OTHER, mEnded::incrementAndGet);

        assertThat(mViews.endAllCalls(), is(2));
    }

    @Test
    void confirmsAWithdrawalOnlyWhenItIsInForce() {
        mViews.whenWithdrawn(KEY).subscribe(done -> {}, e -> {}, mEnded::incrementAndGet);
        mViews.publish(view(Set.of(OTHER), true));
        assertThat(mEnded.get(), is(0));
        mViews.publish(view(Set.of(KEY), true));

        assertThat(mEnded.get(), is(1));
    }

    private static KeyView view(Set<KeyId> withdrawals, boolean usable) {
        return new KeyView(new KeyTable(List.of(), withdrawals), 1, usable);
    }
}
