package larchridge.node;

import larchridge.node.discovery.DiscoveryClient;
import larchridge.node.server.HttpServer;
import larchridge.node.upstream.ForwardingUpstreamClient;
import larchridge.router.Router;

/** The components of a node; all are used on its event loop only. */
record NodeComponents(
        NodeAudit audit,
        ForwardingUpstreamClient upstream,
        Router router,
        HttpServer server,
        DiscoveryClient discovery) {}
