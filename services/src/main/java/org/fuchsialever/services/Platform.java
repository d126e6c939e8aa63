package org.fuchsialever.services;

/**
 * All interfaces of the platform.
 *
 * @param tables the table service
 * @param objects the object store
 * @param ordering the interface for ordering upstreams
 * @param usageReports the interface for usage reports
 * @param instances the list of instances
 * @param weights the weight store
 * @param judge the service that judges samples
 */
public record Platform(
        TableService tables,
        ObjectStore objects,
        OrderingService ordering,
        UsageReportService usageReports,
        InstanceList instances,
        WeightStore weights,
        JudgeService judge) {}
