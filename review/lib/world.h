/**
 * A small deployment on loopback: the controllers under test as processes of their own, and
 * stand-ins for the cloud, its machines with their workers, the load balancer and the users.
 */
#pragma once

#include "proxy.h"
#include "state.h"

#include <sys/types.h>

/** The most controllers of a deployment. */
#define MAX_NODES 5

/** The type of all machines. */
typedef struct {
  const char *sku;
  double cpus, gpus, mem_gb;
  double boot_s;                /**< as the catalog says */
  double up_s;                  /**< after which machines are up, more or less */
  const char *zones[MAX_NODES]; /**< where it is offered; none: in all zones */
} Sku;

/** What a scenario chooses. */
typedef struct {
  guint nodes;
  const char *zones[MAX_NODES];      /**< zone of each controller */
  const char *more_zones[MAX_NODES]; /**< zones without a controller; NULL: no more */
  double report_s, lease_s, cancel_s;
  double rps, write_rps, value_kb;
  guint txn_ops;
  double cloud_rps, list_lag_s;
  guint max_sockets;
  double memory_mb, cpu_share;
  double restart_s; /**< a controller that ended is back after this time */
  Sku sku;
  guint capacity, spot_capacity; /**< machines of each zone */
  const char *teams;             /**< JSON list, as in the settings */
} Plan;

/** A task on a machine. */
typedef struct {
  char *job;
  guint number;
  guint64 attempt;
  const char *state; /**< fetching, running, flushing, exited */
  const char *why;
  gboolean stored;
  gint64 next_ms; /**< end of the current state; G_MAXINT64: none */
} Task;

typedef struct _World World;

/** A rented machine. */
typedef struct {
  World *world;
  char *name;
  const char *zone;
  gboolean spot;
  gint64 rented_ms, boot_ms, gone_ms, hung_until_ms;
  gboolean is_up, is_gone; /**< gone: returned, taken or without power */
  gboolean is_returned;
  gboolean is_sick; /**< fails every task that it starts */
  guint sick_starts;
  gboolean is_dead; /**< stopped by itself; stays in the list until it is returned */
  Listener *listener;
  Link *link;
  guint node; /**< the controller it reports to */
  gboolean is_reporting;
  gint64 next_report_ms, last_report_ms, renewed_ms, sent_ms;
  guint64 session, sequence, token, sent_session;
  gint64 notice_ms; /**< when the cloud takes it; 0: no notice was given */
  GPtrArray *tasks;
  GHashTable *images;
  guint reports, answered;
} Machine;

/** A job of a user. */
typedef struct {
  World *world;
  char *id;
  json_t *body;
  double run_s;       /**< of each task; negative: runs until it is cancelled */
  gboolean is_broken; /**< submitted with a mistake: its tasks fail on every machine */
  gboolean is_submitted, is_accepted, is_refused, is_cancelling;
  guint refusal;
  gint64 submitted_ms, accepted_ms, cancel_asked_ms, cancelled_ms, done_ms, last_answer_ms;
  gint64 first_start_ms;
  guint starts;
  gint64 room_since_ms; /**< since when it waits although a machine has room; 0: it doesn't */
  gint64 room_longest_ms;
  char *told; /**< the last state that its user was told */
  gint64 next_ms;
  gboolean is_in_flight;
  guint polls, failed_polls;
  guint8 *completed;
  guint completed_count;
} Job;

/** A controller process. */
typedef struct {
  World *world;
  char *name;
  const char *zone;
  guint api_port, mesh_port;
  char *settings;
  GPid pid; /**< 0: not running */
  gint64 restart_ms;
  guint starts, ended_by_itself;
  gboolean is_healthy, is_probing, was_healthy;
  Proxy *to_state, *to_cloud; /**< its connections to the services */
  Proxy *to_peers[MAX_NODES]; /**< its connections to the other controllers, by their number */
  gboolean is_cut;            /**< its zone is cut off, see world_cut_zone() */
  guint good, bad;
} Node;

/** The deployment. */
struct _World {
  const Plan *plan;
  char *folder;
  char **run; /**< the command of the deploy file */
  FILE *record;
  gint64 start_ms;
  State *state;
  Listener *cloud;
  gboolean cloud_is_out;
  gint64 boot_ms; /**< boot time of the next machines */
  GPtrArray *machines;
  GHashTable *rentals;
  double cloud_tokens;
  gint64 cloud_refilled_ms;
  Node nodes[MAX_NODES];
  GPtrArray *jobs;
  GHashTable *jobs_by_id;
  guint next_user_node;
  const char *cut_zone; /**< the zone that is cut off from everything; NULL: none */
  double poll_factor;   /**< users ask so many times as often as usual */
  GMainLoop *loop;
  void (*step)(World *world);
  int verdict;
  GString *violations;
};

/** Creates the deployment, and starts its controllers. Arguments: record file, folder, command. */
World *world_new(const Plan *plan, int argc, char **argv);
/** Runs until world_end(); @step is called about every 20 ms. Returns the verdict. */
int world_run(World *world, void (*step)(World *world));
/** Ends all processes and the run. @verdict: 0 held, 1 broken, 2 couldn't run */
void world_end(World *world, int verdict);
/** Milliseconds since the start. */
gint64 world_ms(const World *world);
/** Writes a line to the record. */
void world_note(World *world, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Records that a rule was broken. */
void world_violation(World *world, const char *rule, const char *format, ...) G_GNUC_PRINTF(3, 4);
/** Submits a job from now on, as its user would, and polls it. Takes ownership of @body. */
Job *world_submit(World *world, json_t *body, double run_s);
/** The body of a submission with usual values. */
json_t *world_job(const char *id, const char *team, const char *kind, const char *priority,
                  guint tasks, double cpus, double gpus, double mem_gb);
/** Lets the job's user ask to cancel it. */
void world_cancel(Job *job);
/** The number of tasks of the job on machines, running or saving. */
guint world_running(const World *world, const Job *job);
/**
 * To be called in each step: updates since when none of the accepted job's tasks has been on a
 * machine although a machine that fits was up and had room for one.
 */
void world_watch_room(Job *job);
/** The number of the job's tasks on any machine, in any state. */
guint world_tasks_of(const World *world, const Job *job);
/** Whether a machine that is up has room for a task of the job. */
gboolean world_has_room(const World *world, const Job *job);
/** The cloud takes the machine without a notice. */
void world_machine_taken(Machine *machine);
/** Kills the controller; it is back after the plan's time if @restart. */
void world_kill_node(Node *node, gboolean restart);
/**
 * Cuts the zone off from everything: its controllers and machines reach only one another. NULL ends
 * the cut. Of the machines' own addresses the cut hides them from all controllers, those inside
 * included: these hear of their machines by the reports, and answer them.
 */
void world_cut_zone(World *world, const char *zone);
/** The machine loses its power: it is silent, and what was on it is gone. */
void world_machine_dies(Machine *machine);
/** Whether all controllers are ready. */
gboolean world_all_ready(const World *world);
/** The number of machines that are up. */
guint world_up_machines(const World *world);
/** Whether a task occupies its place: its image is there and it hasn't exited. */
gboolean task_is_on_machine(const Task *task);
