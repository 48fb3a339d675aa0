/** What all outgoing connections of a node have in common. */
package larchridge.node.transport;
