package org.fuchsialever.frontend;

/**
 * One header field of a request or an answer.
 *
 * @param name its name
 * @param value its value
 */
public record HeaderField(String name, String value) {}
