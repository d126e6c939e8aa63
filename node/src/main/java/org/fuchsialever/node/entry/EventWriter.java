package org.fuchsialever.node.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import org.fuchsialever.decisions.memory.MemoryShare;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.FutureMono;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes the events of a stream one after the other, each once its connection has taken the one
 * before. The server's own writer takes 128 events in advance and copies them outside the heap.
 */
final class EventWriter {
    private EventWriter() {}

    /** Writes events; the room of each is returned when it has been written. */
    static Mono<Void> write(
            HttpServerResponse response, Flux<byte[]> events, InstanceMemory.Lease memory) {
        Channel[] channel = new Channel[1];
        response.withConnection(connection -> channel[0] = connection.channel());
        return response.sendHeaders()
                .then(events.concatMap(event -> write(channel[0], event, memory), 1).then())
                .then();
    }

    private static Mono<Void> write(Channel channel, byte[] event, InstanceMemory.Lease memory) {
        return FutureMono.deferFuture(
                        () ->
                                channel.writeAndFlush(
                                        new DefaultHttpContent(Unpooled.wrappedBuffer(event))))
                .doFinally(signal -> memory.giveBack(MemoryShare.RESPONSE, event.length));
    }
}
