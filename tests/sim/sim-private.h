/**
 * What the parts of the simulated cluster share.
 */
#pragma once

#include "sim/sim.h"
#include "protocol/ws-json.h"
#include "sim/store.h"
#include "sim/worker.h"
#include "ws-site.h"

/** The tick of the simulation, the protocol's limits and the checker's, in milliseconds. */
#define TICK_MS 50
#define CANCEL_MS 30000
#define BOOT_MS 8000
#define UNANSWERED_JOB_LIMIT_MS 75000
#define IDLE_CAPACITY_LIMIT_MS 90000

/** What its user was last told of a job. */
typedef enum { REPORTED_NONE, REPORTED_ACCEPTED, REPORTED_DONE, REPORTED_CANCELLED } Told;

/** What the simulation knows of a gang's attempt that has started. */
typedef struct {
  guint64 attempt;    /* 0: none has started */
  gint64 started_ms;  /* when its tasks began to run together */
  gint64 stopped_ms;  /* when the first of them was halted; 0: none was */
  gint64 lost_ms;     /* when one of them was gone; 0: none is */
  gint64 progress_ms; /* that is safe, of all attempts */
  gboolean is_over;
  guint starts;
  guint losses;
  guint saves;
} Gang;

/** A job, as its user and the checker know it. */
typedef struct {
  char *id;
  SimJob spec;
  json_t *message;
  Told told;
  gboolean cancelling;
  gint64 cancelled_ms;
  gint64 next_ms; /* when its user asks again */
  gint64 answered_ms;
  gint64 beside_capacity_since_ms; /* since when a task of it waits beside free capacity; 0: none
                                      does */
  gboolean has_started;
  guint8 *completed;
  Gang gang;
} Job;

/** A rented machine, and the faults that it suffers. */
typedef struct {
  SimWorker *worker;
  gint64 up_ms;
  gboolean returned;
  gboolean dead;
  gint64 stalled_until_ms;
  gint64 outbound_unreachable_until_ms;
  gint64 inbound_unreachable_until_ms;
  gint64 next_heartbeat_ms;
  guint node; /* where it sends its heartbeats */
} Machine;

/** A node; its controller is NULL while it is down. */
typedef struct {
  WsCore *core;
  guint run; /* counts its lives */
  gint64 back_ms;
  gint64 paused_until_ms;
} Node;

/** What an event does. */
typedef void (*Run)(Sim *sim, gpointer data);

/** An event; those of the same time happen in the order in which they were added. */
typedef struct {
  gint64 at_ms;
  guint64 order;
  Run run;
  gpointer data;
} Event;

/** The simulated cluster. */
struct _Sim {
  guint32 seed;
  gint64 heartbeat_interval_ms;
  gint64 lease_ms;
  GRand *rand;
  gint64 now_ms;
  guint64 order;
  guint64 lives;
  GSequence *events;
  SimStore *store;
  gint64 faults_ended_ms; /* since when all faults are over; 0: they aren't */
  guint lost_tasks;
  guint returned_tasks;
  guint late_starts;
  double cancel_at_completion;
  SimFaults faults;
  Node nodes[SIM_NODES];
  WsSettings *settings[SIM_NODES];
  WsProperties *properties;
  GPtrArray *machines;
  GPtrArray *jobs;
  GHashTable *rentals; /* request -> names */
};

/** The names of the zones; a node in each. */
extern const char *const SIM_ZONES[SIM_NODES];

/* Calls in flight. A call lives until its answer was taken or has timed out. */

/** A call in flight, with its caller, request and answer. */
typedef struct {
  Sim *sim;
  guint refs;
  gboolean over; /* the caller has its reply or gave up */
  /* the caller: a node in one of its lives, a machine, or a user */
  guint node;
  guint run;
  guint64 call;
  Machine *machine;
  gint64 sent_ms;
  guint64 incarnation;
  Job *job;
  guint expected; /* of a malformed request: the status */
  const char *expected_state;
  /* what is asked */
  char *method;
  char *address;
  char *path;
  json_t *body;
  /* the answer */
  guint status;
  json_t *answer;
  json_t *held; /* an answer that hasn't set off yet */
} Call;
/** The tasks that occupy slots beside one that starts. */
typedef struct {
  guint same_task;
  guint same_job;
  guint team;
  guint in_zone;
  guint on_machine;
} Running;

/** Delivers the call to the cloud, which answers. */
void sim_send_to_cloud(Sim *sim, Call *call);
/** Gives up a reference; the last one frees the call. */
void sim_call_unref(Call *call);
/** The user cancels an accepted job, at once. */
void sim_user_cancel(Sim *sim, Job *job);
/** Whether something of this probability happens. */
gboolean sim_draw_chance(Sim *sim, double part);
/** Fails if another attempt of the task's gang occupies slots. */
void sim_check_one_attempt(const Sim *sim, const SimTask *task);
/** The task has its image, and waits for the others of its gang. */
void sim_gang_handle_ready_task(const Sim *sim, Machine *machine, SimTask *task);
/** Starts, stops or completes the gang as far as its tasks allow. */
void sim_step_gang(Sim *sim, Job *job);
/** Fails if an accepted job has gone unanswered for too long without faults. */
void sim_check_answered(const Sim *sim, const Job *job);
/** Fails if the job waits for too long beside free capacity without faults. */
void sim_check_idle_capacity(const Sim *sim, Job *job);
/** A SimDescribeTask for the jobs of the simulation. */
gboolean sim_describe_task(gpointer world, const char *id, guint task, double *run_s);
/** The job of the id, or NULL. */
Job *sim_find_job(const Sim *sim, const char *id);
/** The machine of the name, or NULL. */
Machine *sim_find_machine(const Sim *sim, const char *name);
/** Whether the machine is stalled now. */
gboolean sim_is_stalled(const Sim *sim, const Machine *machine);
/** Whether the machine has booted, and neither died nor was returned. */
gboolean sim_is_up(const Sim *sim, const Machine *machine);
/** Adds an event. */
void sim_schedule(Sim *sim, gint64 after_ms, Run run, gpointer data);
/** The simulated time in seconds. */
double sim_now_s(const Sim *sim);
/** Takes the answers and calls that the node's controller has put out. */
void sim_deliver_outputs(Sim *sim, guint node);
/** The callee's answer to the call, whose reference is taken. */
void sim_reply_to_call(gpointer data, guint status, json_t *body);
/** Sends a call, which may be lost, delayed or duplicated, and times out. */
void sim_send_call(Sim *sim, Call *call, guint timeout_ms);
/** Ends expired leases, lets tasks go on and sends a heartbeat that is due. */
void sim_step_machine(Sim *sim, Machine *machine);
/** Starts the task once it has its image, or completes it. */
void sim_step_task(Sim *sim, Machine *machine, SimTask *task);
/** The job's user submits, queries or cancels it when the next request is due. */
void sim_step_user(Sim *sim, Job *job);
/** The user takes the reply; fails if it contradicts what was said before. */
void sim_user_handle_reply(Sim *sim, Call *call);
/** The wall clock in milliseconds. */
gint64 sim_wall_clock_ms(const Sim *sim);
