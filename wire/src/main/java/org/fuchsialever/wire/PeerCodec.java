package org.fuchsialever.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.wire.generated.PeerProtocol.Envelope;
import org.fuchsialever.wire.generated.PeerProtocol.Envelope.ContentCase;
import org.fuchsialever.wire.generated.PeerProtocol.Hello;

/** Encodes and decodes the messages between instances. */
public final class PeerCodec {
    private PeerCodec() {}

    /** Returns the frame content of a message. */
    public static byte[] encode(PeerMessage message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        for (MessageKind kind : MessageKind.values()) {
            if (kind.isOf(message)) {
                kind.encode(message, envelope);
                return envelope.build().toByteArray();
            }
        }
        throw new IllegalArgumentException("no mapping for " + message.getClass().getName());
    }

    /** Returns the message of a frame; left is the failure reason that is used in metrics. */
    public static Either<String, PeerMessage> decode(byte[] frame) {
        try {
            Envelope envelope = Envelope.parseFrom(frame);
            for (MessageKind kind : MessageKind.values()) {
                if (kind.isOf(envelope.getContentCase())) {
                    return Either.right(kind.decode(envelope));
                }
            }
            return Either.left("unknown-kind");
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Either.left("malformed");
        }
    }

    static byte[] encodeHello(InstanceId instance) {
        Hello hello = Hello.newBuilder().setInstance(instance.value()).build();
        return Envelope.newBuilder().setHello(hello).build().toByteArray();
    }

    static Either<String, InstanceId> decodeHello(byte[] frame) {
        try {
            Envelope envelope = Envelope.parseFrom(frame);
            return envelope.getContentCase() == ContentCase.HELLO
                    ? Either.right(new InstanceId(envelope.getHello().getInstance()))
                    : Either.left("hello-missing");
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Either.left("malformed");
        }
    }
}
