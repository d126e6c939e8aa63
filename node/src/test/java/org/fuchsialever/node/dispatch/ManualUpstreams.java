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

/** Upstreams whose responses a test emits explicitly. */
final class ManualUpstreams implements UpstreamClient {
    final List<FluxSink<UpstreamResponsePart>> mStreams = new ArrayList<>();
    final List<UpstreamCall> mCalls = new ArrayList<>();
    final List<RequestId> mCancelled = new ArrayList<>();
    int mProbes;

    @Override
    public Flux<UpstreamResponsePart> send(UpstreamCall call) {
        mCalls.add(call);
        return Flux.create(mStreams::add);
    }

    @Override
    public Mono<Void> cancel(UpstreamSpec upstream, RequestId id) {
        return Mono.fromRunnable(() -> mCancelled.add(id));
    }

    @Override
    public Mono<Boolean> probe(UpstreamSpec upstream, UpstreamKind kind) {
        return Mono.fromSupplier(
                () -> {
                    mProbes++;
                    return true;
                });
    }

    void head(int stream) {
        mStreams.get(stream).next(new UpstreamResponsePart.Head(200, List.of()));
    }

    void token(int stream, int index) {
        mStreams.get(stream)
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
