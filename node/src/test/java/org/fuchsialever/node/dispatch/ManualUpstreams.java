package org.fuchsialever.node.dispatch;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.dispatch.stream.EngineChunk;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.node.upstream.UpstreamCall;
import org.fuchsialever.node.upstream.UpstreamClient;
import org.fuchsialever.node.upstream.UpstreamResponsePart;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;

/** Upstreams whose answers a test emits by hand. */
final class ManualUpstreams implements UpstreamClient {
    final List<FluxSink<UpstreamResponsePart>> streams = new ArrayList<>();
    final List<UpstreamCall> calls = new ArrayList<>();
    final List<RequestId> cancelled = new ArrayList<>();
    int probes;

    @Override
    public Flux<UpstreamResponsePart> send(UpstreamCall call) {
        calls.add(call);
        return Flux.create(streams::add);
    }

    @Override
    public Mono<Void> cancel(UpstreamSpec upstream, RequestId id) {
        return Mono.fromRunnable(() -> cancelled.add(id));
    }

    @Override
    public Mono<Boolean> probe(UpstreamSpec upstream, UpstreamKind kind) {
        return Mono.fromSupplier(
                () -> {
                    probes++;
                    return true;
                });
    }

    void head(int stream) {
        streams.get(stream).next(new UpstreamResponsePart.Head(200, List.of()));
    }

    void token(int stream, int index) {
        streams.get(stream)
                .next(
                        new UpstreamResponsePart.EngineEvent(
                                new ObjectMapper().createObjectNode().put("token", index),
                                Option.some(
                                        new EngineChunk(
                                                Option.some("start"),
                                                Option.some(new WeightVersion(1)),
                                                index,
                                                "t")),
                                -1,
                                -1));
    }
}
