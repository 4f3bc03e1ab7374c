/**
 * Minimal HTTP/1.1 server and client for the stand-ins: loopback only, one request at a time on a
 * connection.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

/** A listening socket. */
typedef struct _Listener Listener;
/** A request that waits for its answer. */
typedef struct _Exchange Exchange;
/** A client connection that is kept open between requests. */
typedef struct _Link Link;

/** Handles a request; exchange_reply() has to be called for it, now or later. */
typedef void (*ServeFunc)(Exchange *exchange, const char *method, const char *path,
                          const json_t *body, gpointer data);
/** Receives the outcome of a call. @status: 0 if there was no answer. */
typedef void (*CallFunc)(guint status, const json_t *body, gpointer data);

/** The steady clock in milliseconds. */
gint64 clock_ms(void);
/** Listens on a free loopback port. */
Listener *listener_new(ServeFunc serve, gpointer data);
/** The port of the listener. */
guint listener_port(const Listener *listener);
/**
 * From now on the host is silent, as a machine without power: its sockets stay as they are, nothing
 * is read, answered or closed.
 */
void listener_silence(Listener *listener);
/** Ends the silence. */
void listener_resume(Listener *listener);
/** Sends the answer. Takes ownership of @body, which may be NULL. */
void exchange_reply(Exchange *exchange, guint status, json_t *body);
/** Closes the connection of the exchange without an answer. */
void exchange_drop(Exchange *exchange);

/** Calls once over a connection of its own. Takes ownership of @body. */
void call_once(guint port, const char *method, const char *path, json_t *body, guint timeout_ms,
               CallFunc done, gpointer data);

/** A persistent connection to a port; connects with its first call. */
Link *link_new(guint port);
/** Sends a request; at most one is in flight. Takes ownership of @body. */
void link_call(Link *link, const char *method, const char *path, json_t *body, guint timeout_ms,
               CallFunc done, gpointer data);
/** Closes the connection; a call in flight is forgotten. */
void link_free(Link *link);
/** Leaves the connection open for ever, silent, as when its host has lost power. */
void link_abandon(Link *link);

/** A free loopback port that nobody listens on at the moment. */
guint free_port(void);
