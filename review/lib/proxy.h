/**
 * A TCP proxy on loopback that can hold all packets, as a network that is cut.
 */
#pragma once

#include <glib.h>

/** A proxy to one port. */
typedef struct _Proxy Proxy;

/** Forwards connections from a free port to @target. */
Proxy *proxy_new(guint target);
/** The port to connect to. */
guint proxy_port(const Proxy *proxy);
/**
 * While held, nothing passes in either direction, and new connections get no answer. Afterwards
 * what was held is delivered in order. A connection attempt that was given up doesn't complete.
 */
void proxy_hold(Proxy *proxy, gboolean held);
