/**
 * Declarations that the source files of the simulated cluster share.
 */
#pragma once

#include "sim/sim.h"
#include "protocol/ws-json.h"
#include "sim/store.h"
#include "sim/worker.h"
#include "ws-test-settings.h"

/**
 * The tick of the simulation, the time by which a cancelled task must have stopped (cancel_s of the
 * settings), the boot time of a machine, and the checker's limits for the time that an accepted job
 * may get no answer, or wait although a machine has free capacity for it; in milliseconds.
 */
#define TICK_MS 50
#define CANCEL_LIMIT_MS 30000
#define BOOT_MS 8000
#define UNANSWERED_JOB_LIMIT_MS 75000
#define IDLE_CAPACITY_LIMIT_MS 90000

/** The state of a job according to the last answer that its user got. */
typedef enum { REPORTED_NONE, REPORTED_ACCEPTED, REPORTED_DONE, REPORTED_CANCELLED } ReportedState;

/** The last attempt of a gang that started, and the counts of its attempts. */
typedef struct {
  guint64 attempt;    /* 0: no attempt has started */
  gint64 started_ms;  /* when all its tasks started to run */
  gint64 stopped_ms;  /* when the first of its tasks began to save; 0: none has */
  gint64 lost_ms;     /* when the loss of a task was found; 0: none is lost */
  gint64 progress_ms; /* saved or checkpointed by all attempts so far */
  gboolean is_over;
  guint starts;
  guint losses;
  guint saves;
} Gang;

/** A job, with its user's view of it and the checker's data. */
typedef struct {
  char *id;
  SimJob spec;
  json_t *message; /* the submission */
  ReportedState reported;
  gboolean cancelling;    /* its user has decided to cancel it */
  gint64 cancelled_ms;    /* when its user got the answer that it is cancelled */
  gint64 next_request_ms; /* when its user sends the next request; G_MAXINT64: one is in flight */
  gint64 answered_ms;     /* when its user last got a successful answer */
  gint64 idle_capacity_since_ms; /* since when it waits despite free capacity; 0: it doesn't */
  gboolean has_started;
  guint8 *completed; /* for each task: whether it is done */
  Gang gang;
} Job;

/** A rented machine, and the faults injected into it. */
typedef struct {
  SimWorker *worker;
  gint64 booted_ms; /* when it has booted; G_MAXINT64: never */
  gboolean returned;
  gboolean dead;
  gint64 stalled_until_ms;
  gint64 outbound_unreachable_until_ms;
  gint64 inbound_unreachable_until_ms;
  gint64 next_heartbeat_ms;
  guint node; /* the node to which it sends its heartbeats */
} Machine;

/** A node; its controller is NULL while it is down. */
typedef struct {
  WsCore *core;
  guint run;         /* the number of times that its controller has started */
  gint64 restart_ms; /* when a crashed controller starts again */
  gint64 paused_until_ms;
} Node;

/** Carries out an event. */
typedef void (*EventHandler)(Sim *sim, gpointer data);

/** A scheduled event. Events of the same time are carried out in the order of their scheduling. */
typedef struct {
  gint64 at_ms;
  guint64 order;
  EventHandler handler;
  gpointer data;
} Event;

/** The state of the simulated cluster. */
struct _Sim {
  guint32 seed;
  gint64 heartbeat_interval_ms;
  gint64 lease_ms;
  GRand *rand;
  gint64 now_ms;
  guint64 order;             /* of the last event scheduled */
  guint64 controller_starts; /* the number of controllers started, to give each its own seed */
  GSequence *events;
  SimStore *store;
  gint64 faults_ended_ms; /* when sim_end_faults() was called; 0: it wasn't */
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
  gboolean has_scattered_job_ids;
  GPtrArray *kept_copies;   /* of Call: see sim_keep_copies(); NULL: none are kept */
  GPtrArray *held_launches; /* of Call: see sim_hold_launches(); NULL: none are held */
  gint64 cloud_delay_ms;    /* see sim_delay_cloud_calls(); 0: none */
  gboolean expects_recorded_tasks;
  gboolean caches_images;
  gboolean uses_single_tokens;
  GHashTable *rentals; /* rental request id -> JSON array of machine names */
};

/** The names of the zones. Node n is in zone n. */
extern const char *const SIM_ZONES[SIM_NODES];

/**
 * A call in flight, with its caller, request and answer. Each scheduled event and each callee
 * that hasn't answered yet has a reference.
 */
typedef struct {
  Sim *sim;
  guint refs;
  gboolean has_copy;    /* a copy of it arrives, or has arrived, once more */
  gboolean was_held;    /* it was held up; nobody gets its answer */
  gboolean is_finished; /* the caller has got an answer or timed out */
  /* the caller: a run of a node's controller, a machine, or a user */
  guint node;
  guint run;
  guint64 call;
  Machine *machine;
  gint64 sent_ms;
  guint64 incarnation;
  Job *job;
  guint expected_status; /* status of the answer to a malformed request; 0: another call */
  const char *expected_state;
  /* the request */
  char *method;
  char *address;
  char *path;
  json_t *body;
  /* the answer */
  guint status;
  json_t *answer;
  json_t *held_answer; /* an answer of the store that hasn't been sent yet */
} Call;

/** Counts of the tasks that occupy slots when another task starts. */
typedef struct {
  guint same_task;
  guint same_job;
  guint team;       /* of the same team */
  guint in_zone;    /* of the same job in the same zone */
  guint on_machine; /* of any job on the same machine */
} SlotCounts;

/** Delivers the call to the cloud, which answers it. */
void sim_send_to_cloud(Sim *sim, Call *call);
/** Drops a reference; the call is freed with the last one. */
void sim_call_unref(Call *call);
/** Has the user of an accepted job cancel it at once. */
void sim_user_cancel(Sim *sim, Job *job);
/** Returns TRUE with the given @probability; draws a random number only if that is above 0. */
gboolean sim_draw_chance(Sim *sim, double probability);
/** Fails if another attempt of the task's gang occupies slots. */
void sim_check_one_attempt(const Sim *sim, const SimTask *task);
/** Makes a task whose image is fetched wait for the other tasks of its gang. */
void sim_gang_handle_ready_task(const Sim *sim, Machine *machine, SimTask *task);
/** Advances the gang: starts, stops, completes or loses its attempt, depending on its tasks. */
void sim_step_gang(Sim *sim, Job *job);
/** Fails if an accepted job's user has got no answer for too long since the faults ended. */
void sim_check_answered(const Sim *sim, const Job *job);
/** Fails if a task occupies a slot of the machine without a record; sim_expect_recorded_tasks(). */
void sim_check_recorded_tasks(const Sim *sim, const Machine *machine);
/** Fails if the job has waited for too long, since the faults ended, while capacity was free. */
void sim_check_idle_capacity(const Sim *sim, Job *job);
/** The SimDescribeTask of the simulated cluster, whose @user_data is the Sim. */
gboolean sim_describe_task(gpointer user_data, const char *id, guint task, double *run_s);
/** Returns the job with the id, or NULL. */
Job *sim_find_job(const Sim *sim, const char *id);
/** Returns the machine with the name, or NULL. */
Machine *sim_find_machine(const Sim *sim, const char *name);
/** Whether the machine is stalled now. */
gboolean sim_is_stalled(const Sim *sim, const Machine *machine);
/** Whether the machine has booted, and is neither dead nor returned. */
gboolean sim_is_up(const Sim *sim, const Machine *machine);
/** Schedules an event. */
void sim_schedule(Sim *sim, gint64 after_ms, EventHandler handler, gpointer data);
/** The simulated time in seconds. */
double sim_now_s(const Sim *sim);
/** Delivers the answers and calls that the node's controller has queued. */
void sim_deliver_outputs(Sim *sim, guint node);
/** Sends the callee's answer to the call @data. Takes ownership of a reference and of @body. */
void sim_reply_to_call(gpointer data, guint status, json_t *body);
/** Sends a call, which may be lost, delayed or duplicated, and times out after @timeout_ms. */
void sim_send_call(Sim *sim, Call *call, guint timeout_ms);
/** Checks the machine's lease, advances its tasks and sends a heartbeat that is due. */
void sim_step_machine(Sim *sim, Machine *machine);
/** Starts the task when its image is fetched, or completes it when its run time is over. */
void sim_step_task(Sim *sim, Machine *machine, SimTask *task);
/** Has the job's user submit, query or cancel it if the next request is due. */
void sim_step_user(Sim *sim, Job *job);
/** Handles the answer to a user; fails if it contradicts an earlier one or the tasks' state. */
void sim_user_handle_reply(Sim *sim, Call *call);
/** The wall clock in milliseconds. */
gint64 sim_wall_clock_ms(const Sim *sim);
