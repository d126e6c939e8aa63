package org.fuchsialever.services.hosted;

import org.fuchsialever.services.ObjectStore;
import org.fuchsialever.services.TableService;
import org.fuchsialever.services.exchange.ExchangeClient;
import org.fuchsialever.services.rows.RowStore;

/**
 * All interfaces of the platform that hosts the node.
 *
 * @param rows the row store
 * @param tables the same store as a table service without parts and feeds
 * @param objects the object store
 * @param exchange the client for calls to upstreams
 * @param directory reads rows of operators, trainers and upstreams
 * @param entry how callers speak
 * @param upstreams how upstreams speak
 * @param orders orders to upstreams
 * @param fencedCalls calls that one instance at a time may make
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
