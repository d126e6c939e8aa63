package org.fuchsialever.kernel.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class InboxTest {

    @Test
    void refusesTheNewEventWhenFullAndCountsIt() {
        Inbox<Integer> inbox = new Inbox<>(1, OverflowPolicy.REFUSE);
        inbox.offer(1);

        assertThat(inbox.offer(2), is(false));
        assertThat(inbox.overflowCount(), is(1L));
        assertThat(inbox.poll(), is(1));
    }

    @Test
    void dropsTheOldestEventWhenFullAndCountsIt() {
        Inbox<Integer> inbox = new Inbox<>(2, OverflowPolicy.DROP_OLDEST);
        inbox.offer(1);
        inbox.offer(2);

        assertThat(inbox.offer(3), is(true));
        assertThat(inbox.overflowCount(), is(1L));
        assertThat(inbox.poll(), is(2));
        assertThat(inbox.poll(), is(3));
    }

    @Test
    void blocksTheProducerUntilThereIsSpace() throws InterruptedException {
        Inbox<Integer> inbox = new Inbox<>(1, OverflowPolicy.BLOCK_PRODUCER);
        inbox.offer(1);
        Thread producer = new Thread(() -> inbox.offer(2));
        producer.start();

        Integer first = inbox.poll(Long.MAX_VALUE);
        Integer second = inbox.poll(Long.MAX_VALUE);

        producer.join();
        assertThat(first, is(1));
        assertThat(second, is(2));
    }
}
