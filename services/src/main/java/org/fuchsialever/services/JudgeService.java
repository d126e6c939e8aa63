package org.fuchsialever.services;

import reactor.core.publisher.Mono;

/** The service that scores samples. */
public interface JudgeService {

    /** Returns the score of a text that was generated for a prompt. */
    Mono<Double> judge(String sample, String prompt, String text);
}
