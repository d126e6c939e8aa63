package org.fuchsialever.frontend.rollout;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.config.RouteKind;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.Names;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.frontend.Caller;
import org.fuchsialever.frontend.Endpoint;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.frontend.RefusedException;
import org.fuchsialever.frontend.RequestBodies;
import org.fuchsialever.frontend.ResponseWriter;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Base class of the endpoints for trainers. */
abstract class RolloutEndpoint implements Endpoint {
    static final String PATH = "/v1/rollouts";

    private final RolloutServices mServices;
    private final String mMethod;

    RolloutEndpoint(RolloutServices services, String method) {
        mServices = services;
        mMethod = method;
    }

    /** Decodes a request without executing it. */
    abstract Request read(HttpServerRequest request, Admitted admitted);

    RolloutPort port() {
        return mServices.port();
    }

    SubmissionReader reader() {
        return mServices.reader();
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        RequestId id = mServices.requestIds().get();
        return Mono.defer(() -> admit(request))
                .flatMap(admitted -> execute(request, response, admitted, id))
                .onErrorResume(
                        RefusedException.class,
                        refused ->
                                mServices
                                        .responseWriter()
                                        .refuse(response, refused.refusal(), id.value()));
    }

    /** Returns the trainer in a path of the form {@code /v1/rollouts/<trainer>} and a suffix. */
    static Option<TrainerName> trainerIn(String path, String suffix) {
        String prefix = PATH + "/";
        if (!path.startsWith(prefix)
                || !path.endsWith(suffix)
                || path.length() <= prefix.length() + suffix.length()) {
            return Option.none();
        }
        String name = path.substring(prefix.length(), path.length() - suffix.length());
        return Names.isValid(name) ? Option.some(new TrainerName(name)) : Option.none();
    }

    private Mono<Admitted> admit(HttpServerRequest request) {
        if (!request.method().name().equals(mMethod)) {
            return refused(RefusalReason.METHOD_NOT_ALLOWED);
        }
        Option<ConfigSnapshot> snapshot = mServices.snapshots().get();
        if (snapshot.isEmpty()) {
            return refused(RefusalReason.NOT_READY);
        }
        Option<Route> found =
                snapshot.get()
                        .routeFor(PATH)
                        .orElse(() -> snapshot.get().routeFor(PATH + "/"))
                        .filter(route -> route.kind() == RouteKind.ROLLOUT);
        if (found.isEmpty()) {
            return refused(RefusalReason.UNKNOWN_ROUTE);
        }
        Route route = found.get();
        Either<RefusalReason, Caller> caller =
                mServices
                        .authenticator()
                        .authenticate(
                                Option.of(request.requestHeaders().get("Authorization")), route);
        if (caller.isLeft()) {
            return refused(caller.getLeft());
        }
        return RequestBodies.read(request, route.bodyLimitBytes())
                .map(body -> new Admitted(route, caller.get().team(), snapshot.get(), body));
    }

    private Mono<Void> execute(
            HttpServerRequest request,
            HttpServerResponse response,
            Admitted admitted,
            RequestId id) {
        Request read = read(request, admitted);
        boolean forwarded = request.requestHeaders().contains(RolloutForwarder.FORWARDED);
        return port().findHolder(read.trainer(), read.creates())
                .flatMap(
                        elsewhere -> {
                            if (elsewhere.isEmpty()) {
                                return read.work()
                                        .flatMap(result -> respond(response, read, id, result));
                            }
                            return forwarded
                                    ? refused(RefusalReason.TRAINER_HOLDER_UNKNOWN)
                                    : mServices
                                            .forwarder()
                                            .forward(
                                                    elsewhere.get(),
                                                    request,
                                                    admitted.body(),
                                                    response);
                        });
    }

    private Mono<Void> respond(
            HttpServerResponse response,
            Request read,
            RequestId id,
            Either<Refusal, ObjectNode> result) {
        if (result.isLeft()) {
            return mServices.responseWriter().refuse(response, result.getLeft(), id.value());
        }
        response.status(read.status()).header("X-Request-Id", id.value());
        return ResponseWriter.json(response, result.get());
    }

    private static <T> Mono<T> refused(RefusalReason reason) {
        return Mono.error(new RefusedException(Refusal.of(reason)));
    }

    /** A request whose caller may use the rollout route. */
    record Admitted(Route route, TeamName team, ConfigSnapshot snapshot, byte[] body) {}

    /**
     * A decoded request.
     *
     * @param creates whether an unknown trainer may be created
     * @param status the status of a successful response
     * @param work executes the request on this instance
     */
    record Request(
            TrainerName trainer,
            boolean creates,
            int status,
            Mono<Either<Refusal, ObjectNode>> work) {}
}
