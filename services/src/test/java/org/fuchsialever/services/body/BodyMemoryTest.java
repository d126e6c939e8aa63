package org.fuchsialever.services.body;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.fuchsialever.services.body.BodyMemory.BodyTooLargeException;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

class BodyMemoryTest {
    private final BodyMemory mMemory = new BodyMemory(100);

    @Test
    void readsABodyOfTheMaximumSizeAndAnEmptyOne() {
        assertThat(read(Flux.just(new byte[30], new byte[30]), 60).length, is(60));
        assertThat(read(Flux.empty(), 60).length, is(0));
    }

    @Test
    void stopsReadingABodyWithoutEnd() {
        Flux<byte[]> endless = Flux.generate(sink -> sink.next(new byte[7]));
        assertThrows(BodyTooLargeException.class, () -> read(endless, 60));
        assertThat(read(Flux.just(new byte[60]), 60).length, is(60));
    }

    /** Guards against bodies that are each permitted and together take all memory. */
    @Test
    void boundsAllIncompleteBodiesTogetherAndForgetsThoseThatEnded() {
        Flux<byte[]> incomplete = Flux.just(new byte[60]).concatWith(Mono.never());
        Disposable first = mMemory.read(incomplete, 60).subscribe();
        assertThrows(BodyTooLargeException.class, () -> read(incomplete, 60));
        assertThat(read(Flux.just(new byte[40]), 60).length, is(40));
        first.dispose();
        assertThat(read(Flux.just(new byte[60]), 60).length, is(60));
    }

    private byte[] read(Flux<byte[]> content, int maxBytes) {
        return mMemory.read(content, maxBytes).blockOptional().orElseThrow();
    }
}
