/**
 * Runs a node with real HTTP on loopback, against simulated services.
 */
#pragma once

#include "protocol/ws-json.h"
#include "runtime/ws-runtime.h"
#include "sim/store.h"

#include <libsoup/soup.h>

/** The sockets that a node may use, unless a test says otherwise. */
#define HTTP_FIXTURE_MAX_SOCKETS 1000

/** The node under test, and the simulated services that it calls. */
typedef struct {
  SimStore *store;
  SoupServer *server;      /* the key-value store and the cloud */
  GHashTable *connections; /* of the node to the services */
  WsSettings *settings;
  WsProperties *properties;
  WsRuntime *runtime;
  SoupSession *session;
  guint api_port;
  guint peer_port;
  char *api_url;
} HttpFixture;

/** Creates a node that may use so many sockets. It is never freed. */
HttpFixture *http_fixture_new(guint max_sockets);
/** Sends a request and returns the status. @response: the parsed body; may be NULL */
guint http_send_request(HttpFixture *fixture, const char *method, const char *path,
                        const char *body, gsize length, json_t **response);
/** Does the same with a text, or without a body. */
guint http_send_text(HttpFixture *fixture, const char *method, const char *path, const char *body);
/** Runs the main loop for a time. */
void http_run_main_loop_for(guint ms);
/** Waits until the node is ready. */
void http_wait_until_ready(HttpFixture *fixture);

void test_requests_get_expected_status_over_reused_connections(void);
void test_half_sent_headers_leave_others_served(void);
void test_half_sent_bodies_leave_others_served(void);
void test_slow_senders_leave_others_served(void);
void test_returning_connections_leave_others_served(void);
void test_half_sent_second_requests_leave_others_served(void);
void test_unread_answers_end_the_connection(void);
void test_half_sent_peer_requests_leave_peers_served(void);
void test_odd_requests_end_with_a_status(void);
void test_request_completed_during_pause_is_answered(void);
void test_idle_connection_is_kept(void);

void test_connection_times_and_share(void);
void test_idle_and_handled_connections_are_kept(void);
