/* One controller alone in its epoch, with a state service and scripted workers: for what random
   schedules rarely lean on, and for counting. */
#pragma once

#include "core/ws-core.h"
#include "sim/state.h"

typedef struct Rig {
  WsSettings *settings;
  WsProperties *properties;
  SimState *state;
  WsCore *core;
  guint run; /* counts its restarts */
  gint64 now_ms;
  const char *zone;        /* of the machines that report */
  gboolean spot;           /* what kind they are */
  gboolean peers_silent;   /* the other controllers aren't there */
  gboolean state_out;      /* the state service answers 503 */
  gboolean workers_answer; /* direct commands */
  json_t *status_report;   /* what workers answer to /status; NULL: nothing */
  gboolean hold_watch;     /* the next watch gets no answer until it is released */
  guint64 held_watch;
  gboolean small_type;    /* the cloud has a smaller type too */
  gboolean cloud_returns; /* it answers returns */
  gboolean peers_without_state;
  guint peers_untold;  /* cancellations that a peer knows and has not told */
  gboolean peers_take; /* what they are told of cancellations */
  guint told;          /* how often peers were told */
  guint returned;      /* returns asked of the cloud */
  guint direct;        /* direct commands seen */
  guint64 sequence;
  guint status; /* the last answer to a request of ours */
  json_t *answer;
  gboolean hold; /* the next transaction that assigns a task waits for held's answer */
  guint64 held;
  json_t *last_txn;
  json_t *assign_txn; /* the last one that wrote a task's record */
  guint outputs;      /* answers and calls of the core */
  gsize gossip_bytes; /* of the last gossip; a peer acknowledges it */
  json_t *member_txn; /* the last one that wrote the member's own record */
} Rig;

typedef struct {
  Rig *rig;
  guint64 call;
  guint run;
} Asked;

/* A machine that has shown the token, a job and its task on the machine. */
Rig *rig_new(gboolean workers_answer);
/* The same without machine and job. */
Rig *rig_bare(gboolean workers_answer);
/* The same where the cloud has a small type beside the large one. */
Rig *rig_two_types(void);
void rig_free(Rig *rig);
/* The controller ends and begins anew, with the same state service. */
void rig_restart(Rig *rig);
void rig_release_watch(Rig *rig);
void rig_pump(Rig *rig);
void rig_run(Rig *rig, double seconds);
/* A request, and no pause after it. */
void rig_request(Rig *rig, WsDoor door, const char *method, const char *path,
                 json_t *body /* taken, may be NULL */);
/* The teams have no limits. */
void rig_lift_limits(Rig *rig);
/* A POST, and no pause after it. */
void rig_tell(Rig *rig, const char *path, json_t *body /* taken */);
/* A request, and a moment for its answer. */
void rig_ask(Rig *rig, const char *method, const char *path, json_t *body /* taken */);
json_t *rig_report_of(const Rig *rig, const char *machine, guint64 fencing_token, guint64 sequence,
                      json_t *tasks);
/* What another controller says, and a moment for the answer. */
void rig_mesh(Rig *rig, const char *path, json_t *body /* taken */);
/* A report of any machine, and no pause after it. */
void rig_report_now(Rig *rig, const char *machine, guint64 fencing_token, guint64 sequence,
                    json_t *tasks /* taken */);
void rig_send_report(Rig *rig, guint64 fencing_token, json_t *tasks);
json_t *rig_submission(void);
gboolean rig_is_assigned(const Rig *rig);
/* Whether the last answer to a report has the command. */
gboolean rig_has_command(const Rig *rig, const char *op);
/* What somebody else writes to the state service; value NULL: removes the key, which is there. */
void rig_write_key(Rig *rig, const char *key, json_t *value /* taken */);
void rig_reply(Rig *rig, guint64 call, guint status, const json_t *body);
void rig_on_state(gpointer data, guint status, json_t *body);
