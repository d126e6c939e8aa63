package org.fuchsialever.services.hosted;

import org.fuchsialever.services.ObjectStore;
import org.fuchsialever.services.TableService;
import org.fuchsialever.services.exchange.ExchangeClient;
import org.fuchsialever.services.rows.RowStore;

/**
 * All interfaces of the platform that hosts the node.
 *
 * @param tables the same store as {@code rows} as a table service, without change feeds
 * @param exchange the client for calls to upstreams
 * @param directory decodes rows of operators, trainers and upstreams
 * @param entry the protocol between callers and instances
 * @param upstreams the protocol between instances and upstreams
 */
public record HostedServices(
        RowStore rows,
        TableService tables,
        ObjectStore objects,
        ExchangeClient exchange,
        DirectoryFormat directory,
        EntryProtocol entry,
        UpstreamProtocol upstreams,
        UpstreamOrders orders,
        FencedCalls fencedCalls) {}
