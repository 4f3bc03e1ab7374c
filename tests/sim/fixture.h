/**
 * The one-node harness: the only controller of its epoch, with a simulated store and scripted
 * peers, workers and cloud. It serves tests of conditions that random schedules rarely reach, and
 * tests that count messages. The functions fixture_send_...() run for 0.3 s after the message, so
 * that its answer arrives; the other functions that send a message don't advance the time.
 */
#pragma once

#include "coordination/ws-epoch.h"
#include "core/ws-core.h"
#include "sim/store.h"

/** The number of the n-th epoch of a cluster whose members all know ranges of fencing tokens, and
   the first token of that epoch. */
#define EPOCH_NUMBER(n) ((n)*WS_EPOCH_TOKENS)
#define FIRST_TOKEN(n) (EPOCH_NUMBER((n)-1) + 1)

/** A controller, its simulated surroundings, and what a test sets or reads. */
typedef struct Fixture {
  WsSettings *settings;
  WsProperties *properties;
  SimStore *store;
  WsCore *core;
  guint run; /* the number of restarts of the controller */
  gint64 now_ms;
  const char *zone;           /* of the machines that send heartbeats */
  gboolean spot;              /* whether these machines are spot machines */
  gboolean peers_unreachable; /* gossip to the other controllers fails */
  gboolean store_unavailable; /* the store answers 503 */
  gboolean workers_answer;    /* workers answer direct commands, with 409 */
  json_t *direct_call;        /* the body of the last request with direct commands */
  json_t *command_report;     /* the body of the workers' answer to direct commands, or NULL */
  json_t *status_report;      /* the workers' answer to /status; NULL: the request fails */
  gboolean hold_watch;        /* watches get no answer until fixture_release_watch() */
  guint64 held_watch;         /* the last call that hold_watch held back */
  void (*on_page)(struct Fixture *fixture, const char *path); /* called before a page is read */
  gboolean has_small_type;          /* the catalog also has a type with one accelerator */
  const char *catalog_label;        /* an unknown member of the catalog, or NULL */
  const char *catalog_text;         /* the cloud's answer in place of the catalog, or NULL */
  const char *gossip_text;          /* peers' answers to gossip, or NULL */
  const char *relay_answer;         /* the text of peers' answers to relayed heartbeats, or NULL */
  guint relayed;                    /* heartbeats relayed to peers */
  gboolean cloud_confirms_returns;  /* the cloud acknowledges return requests */
  gboolean peers_get_no_heartbeats; /* peers report in gossip that no worker reaches them */
  gboolean peers_lack_store;        /* peers report in gossip that they don't reach the store */
  guint unacknowledged_by_peers;    /* unacknowledged cancellations that each peer reports */
  gboolean peers_acknowledge;       /* peers acknowledge forwarded cancellations */
  guint cancellations_sent;         /* forwarded to peers, including retries */
  guint returns_requested;          /* return requests that the cloud acknowledged */
  guint direct_commands;            /* requests to workers with direct commands */
  guint64 sequence;                 /* of the last heartbeat of the machine m-1 */
  guint status;                     /* of the controller's last answer to a request of the test */
  json_t *answer;                   /* the body of this answer */
  gboolean hold_assignment;         /* the next transaction with a task record gets no answer */
  guint64 held_call;                /* this transaction; the test answers it with fixture_reply() */
  json_t *last_transaction;         /* that was sent to the store */
  json_t *assignment_transaction;   /* the last transaction that wrote a task record */
  guint outputs;                    /* the number of answers and calls that the core has sent */
  gsize gossip_bytes;         /* the size of the last gossip message that a peer acknowledged */
  json_t *member_transaction; /* the last transaction that wrote the record of member n0 */
} Fixture;

/** A call to the store that awaits its answer, and the run of the controller that made it. */
typedef struct {
  Fixture *fixture;
  guint64 call;
  guint run;
} StoreCall;

/** Creates a controller in its first epoch, without machines. */
Fixture *fixture_new(gboolean workers_answer);
/** Does the same, and adds the machine m-1, which has reported the current fencing token. */
Fixture *fixture_new_with_machine(gboolean workers_answer);
/** Does the same, and submits the job req-1, whose task is assigned to the machine. */
Fixture *fixture_new_with_job(gboolean workers_answer);
/** Creates a controller without machines; the catalog has a small type besides the large one. */
Fixture *fixture_new_with_two_machine_types(void);
/** Frees the controller and its surroundings. */
void fixture_free(Fixture *fixture);
/** Ends the controller and starts a new one with the same store. */
void fixture_restart(Fixture *fixture);
/** Stops holding watches back; the watch that is held back times out. */
void fixture_release_watch(Fixture *fixture);
/** Handles the answers and calls that the controller has queued for sending. */
void fixture_handle_outputs(Fixture *fixture);
/** Advances the time by @seconds, in ticks of 50 ms. */
void fixture_run(Fixture *fixture, double seconds);
/** Sends the controller a request, without advancing the time. */
void fixture_request(Fixture *fixture, WsListener listener, const char *method, const char *path,
                     json_t *body /* takes ownership; may be NULL */);
/** Sends the controller a request whose body is the given text, without advancing the time. */
void fixture_request_text(Fixture *fixture, WsListener listener, const char *sender,
                          const char *method, const char *path, const char *text, gsize length);
/** Removes the quotas of the teams from the settings. */
void fixture_remove_quotas(Fixture *fixture);
/** Sends a POST to the API listener, without advancing the time. */
void fixture_post(Fixture *fixture, const char *path, json_t *body /* takes ownership */);
/** Sends a request to the API listener, and runs for 0.3 s. */
void fixture_send_request(Fixture *fixture, const char *method, const char *path,
                          json_t *body /* takes ownership */);
/** Returns the body of a heartbeat; takes ownership of @tasks. */
json_t *fixture_heartbeat(const Fixture *fixture, const char *machine, guint64 fencing_token,
                          guint64 sequence, json_t *tasks);
/** Sends a POST to the peer listener, and runs for 0.3 s. */
void fixture_send_peer_message(Fixture *fixture, const char *path,
                               json_t *body /* takes ownership */);
/** Sends a heartbeat of the machine, without advancing the time. */
void fixture_post_heartbeat(Fixture *fixture, const char *machine, guint64 fencing_token,
                            guint64 sequence, json_t *tasks /* takes ownership */);
/** Sends the next heartbeat of the machine m-1, and runs for 0.3 s. */
void fixture_send_heartbeat(Fixture *fixture, guint64 fencing_token,
                            json_t *tasks /* takes ownership */);
/** Returns the submission of the job req-1, which has one task. */
json_t *fixture_submission(void);
/** Returns the same submission with another job id. */
json_t *fixture_submission_with_id(const char *id);
/** The assignments in the job's first task record; NULL if there is no such record. */
const json_t *fixture_assignments(const Fixture *fixture, const char *job);
/** Whether the store has an assignment of the job req-1. */
gboolean fixture_task_is_assigned(const Fixture *fixture);
/** Whether the controller's last answer contains a command of the kind @op. */
gboolean fixture_has_command(const Fixture *fixture, const char *op);
/** The fencing token in the controller's last answer to a heartbeat. */
guint64 fixture_answered_token(const Fixture *fixture);
/** Writes a key to the store as another client; NULL as the value removes the existing key. */
void fixture_write_key(Fixture *fixture, const char *key, json_t *value /* takes ownership */);
/** Answers one of the controller's calls; status 0 means a timeout. */
void fixture_reply(Fixture *fixture, guint64 call, guint status, const json_t *body);
/** Passes the store's answer to the controller, unless it was restarted after the StoreCall @data.
 */
void fixture_on_store_reply(gpointer data, guint status, json_t *body);
