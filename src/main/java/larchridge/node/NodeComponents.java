package larchridge.node;

import larchridge.node.discovery.DiscoveryClient;
import larchridge.node.server.HttpServer;
import larchridge.node.upstream.ForwardingUpstreamClient;
import larchridge.router.Router;

/** The parts of a node that serves. All of them are used on its event loop. */
record NodeComponents(
        NodeAudit audit,
        ForwardingUpstreamClient upstream,
        Router router,
        HttpServer server,
        DiscoveryClient discovery) {}
