package org.fuchsialever.frontend.rollout;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.Submission;
import org.fuchsialever.frontend.Refusal;
import reactor.core.publisher.Mono;

/** Carries out requests of trainers. */
public interface RolloutPort {

    /**
     * Finds the instance that acts for a trainer.
     *
     * @param trainer the trainer
     * @param create whether a trainer that is not known may be taken on
     * @return {@code host:port} of another instance, or none if it is this one; fails with {@link
     *     org.fuchsialever.frontend.RefusedException} if no instance acts for the trainer
     */
    Mono<Option<String>> findHolder(TrainerName trainer, boolean create);

    /** Returns the number of accepted samples after the submission was stored, or a refusal. */
    Mono<Either<Refusal, Integer>> submit(Submission submission);

    /**
     * Returns the samples from a position on.
     *
     * @param team the team of the caller
     * @param trainer the trainer
     * @param cursor the first position
     * @param limit the most samples to return
     * @param wait how long to wait for the first sample
     */
    Mono<Either<Refusal, SamplePage>> samples(
            TeamName team, TrainerName trainer, long cursor, int limit, Duration wait);

    /** Takes note that the trainer has all samples below a position, and returns that position. */
    Mono<Either<Refusal, Long>> acknowledge(TeamName team, TrainerName trainer, long cursor);
}
