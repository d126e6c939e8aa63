package org.fuchsialever.cli.command;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;

/**
 * What a command uses of the process.
 *
 * @param out for results
 * @param err for problems
 * @param stop reaches zero when the process is told to stop
 */
public record CommandContext(PrintStream out, PrintStream err, CountDownLatch stop) {}
