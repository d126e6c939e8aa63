package org.fuchsialever.node.intent;

import io.micrometer.core.instrument.MeterRegistry;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.TableService;

/**
 * Services that {@link RoleIntents} depends on.
 *
 * @param tables stores the journals
 * @param leases tells whether a lease is still valid before a command is sent
 * @param invariants receives the result of checks
 * @param meters the registry for the counters
 */
public record IntentServices(
        TableService tables, Leases leases, InvariantMonitor invariants, MeterRegistry meters) {}
