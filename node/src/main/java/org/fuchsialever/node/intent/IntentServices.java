package org.fuchsialever.node.intent;

import io.micrometer.core.instrument.MeterRegistry;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.TableService;

/**
 * What the intents of a role need.
 *
 * @param tables the table service
 * @param leases the leases of this instance
 * @param invariants receives the result of checks
 * @param meters the registry for the counters
 */
public record IntentServices(
        TableService tables, Leases leases, InvariantMonitor invariants, MeterRegistry meters) {}
