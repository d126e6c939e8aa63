package org.fuchsialever.cli.command;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;

/**
 * The output streams and the stop signal of the process, as a command uses them.
 *
 * @param out the stream for results
 * @param err the stream for error messages
 * @param stop reaches zero when the process is told to stop
 */
public record CommandContext(PrintStream out, PrintStream err, CountDownLatch stop) {}
