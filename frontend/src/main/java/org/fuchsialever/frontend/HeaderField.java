package org.fuchsialever.frontend;

/** A header field of a request or a response. */
public record HeaderField(String name, String value) {}
