package org.fuchsialever.services;

/** All interfaces of the platform. */
public record Platform(
        TableService tables,
        ObjectStore objects,
        OrderingService ordering,
        UsageReportService usageReports,
        InstanceList instances,
        WeightStore weights,
        JudgeService judge) {}
