/**
 * The one-node harness: a controller alone in its epoch, with a simulated store and scripted peers,
 * workers and cloud. For invariants that random schedules rarely rest on, and for counting
 * messages.
 */
#pragma once

#include "core/ws-core.h"
#include "sim/store.h"

/** A controller, what it talks to, and what a test sets or looks at. */
typedef struct Fixture {
  WsSettings *settings;
  WsProperties *properties;
  SimStore *store;
  WsCore *core;
  guint run; /* counts its restarts */
  gint64 now_ms;
  const char *zone;           /* of the machines that send heartbeats */
  gboolean spot;              /* what kind they are */
  gboolean peers_unreachable; /* the other controllers aren't there */
  gboolean store_unavailable; /* the store answers 503 */
  gboolean workers_answer;    /* direct commands */
  json_t *status_report;      /* what workers answer to /status; NULL: nothing */
  gboolean hold_watch;        /* the next watch gets no answer until it is released */
  guint64 held_watch;
  gboolean has_small_type;         /* the cloud has a smaller type too */
  gboolean cloud_confirms_returns; /* it answers returns */
  gboolean peers_lack_store;
  guint unacknowledged_by_peers; /* cancellations that a peer has not got acknowledged */
  gboolean peers_acknowledge;    /* cancellations that they are sent */
  guint cancellations_sent;      /* to peers, repetitions too */
  guint returns_requested;       /* returns asked of the cloud */
  guint direct_commands;         /* direct commands seen */
  guint64 sequence;
  guint status; /* the last answer to a request of ours */
  json_t *answer;
  gboolean hold_assignment; /* the next transaction that assigns a task waits for held's answer */
  guint64 held_call;
  json_t *last_transaction;
  json_t *assignment_transaction; /* the last one that wrote a task's record */
  guint outputs;                  /* answers and calls of the core */
  gsize gossip_bytes;             /* of the last gossip; a peer acknowledges it */
  json_t *member_transaction;     /* the last one that wrote the member's own record */
} Fixture;

/** A call of the controller that the store answers, by the run that made it. */
typedef struct {
  Fixture *fixture;
  guint64 call;
  guint run;
} StoreCall;

/** A controller in its first epoch, without machines. */
Fixture *fixture_new(gboolean workers_answer);
/** The same with the machine m-1, which has shown the fencing token. */
Fixture *fixture_new_with_machine(gboolean workers_answer);
/** The same with the job req-1, whose task is assigned to the machine. */
Fixture *fixture_new_with_job(gboolean workers_answer);
/** A controller without machines, where the cloud has a small type beside the large one. */
Fixture *fixture_new_with_two_machine_types(void);
/** Ends the controller and what it talks to. */
void fixture_free(Fixture *fixture);
/** The controller ends and begins anew, with the same store. */
void fixture_restart(Fixture *fixture);
/** Ends the hold on watches, and gives the one that is held back an empty answer. */
void fixture_release_watch(Fixture *fixture);
/** Takes the answers and calls that the controller has put out. */
void fixture_handle_outputs(Fixture *fixture);
/** Lets time pass, in ticks of 50 ms. */
void fixture_run(Fixture *fixture, double seconds);
/** A request, and no pause after it. */
void fixture_request(Fixture *fixture, WsListener door, const char *method, const char *path,
                     json_t *body /* taken, may be NULL */);
/** The teams have no limits. */
void fixture_remove_quotas(Fixture *fixture);
/** A POST, and no pause after it. */
void fixture_post(Fixture *fixture, const char *path, json_t *body /* taken */);
/** A request, and a moment for its answer. */
void fixture_send_request(Fixture *fixture, const char *method, const char *path,
                          json_t *body /* taken */);
/** The body of a heartbeat; @tasks is taken. */
json_t *fixture_heartbeat(const Fixture *fixture, const char *machine, guint64 fencing_token,
                          guint64 sequence, json_t *tasks);
/** What another controller says, and a moment for the answer. */
void fixture_send_peer_message(Fixture *fixture, const char *path, json_t *body /* taken */);
/** A heartbeat of any machine, and no pause after it. */
void fixture_post_heartbeat(Fixture *fixture, const char *machine, guint64 fencing_token,
                            guint64 sequence, json_t *tasks /* taken */);
/** A heartbeat of the machine m-1, and a moment for its answer. */
void fixture_send_heartbeat(Fixture *fixture, guint64 fencing_token, json_t *tasks);
/** The submission of a job of one task, req-1 or the one named. */
json_t *fixture_submission(void);
/** The same for the job named. */
json_t *fixture_submission_with_id(const char *id);
/** What is recorded as assigned of the first tasks of the job; NULL: no record. */
const json_t *fixture_assignments(const Fixture *fixture, const char *job);
/** Whether the task of the job req-1 is assigned. */
gboolean fixture_task_is_assigned(const Fixture *fixture);
/** Whether the last answer to a heartbeat has the command. */
gboolean fixture_has_command(const Fixture *fixture, const char *op);
/** What somebody else writes to the store; value NULL: removes the key, which is there. */
void fixture_write_key(Fixture *fixture, const char *key, json_t *value /* taken */);
/** Gives a call of the controller its reply; status 0: it has timed out. */
void fixture_reply(Fixture *fixture, guint64 call, guint status, const json_t *body);
/** The store's reply to a StoreCall. */
void fixture_on_store_reply(gpointer data, guint status, json_t *body);
