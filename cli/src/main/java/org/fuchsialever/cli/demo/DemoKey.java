package org.fuchsialever.cli.demo;

/**
 * A granted key.
 *
 * @param team the team that it belongs to
 * @param id its identity
 * @param text what a caller presents
 */
record DemoKey(String team, String id, String text) {}
