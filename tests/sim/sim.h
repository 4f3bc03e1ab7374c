/**
 * A simulated cluster in memory: whole controllers, a store, a cloud, workers and users that follow
 * their published protocols, and a network that loses, delays and duplicates messages. The
 * invariants are checked whenever a task starts and whenever a user is answered.
 *
 * Everything follows from one seed.
 */
#pragma once

#include "core/ws-core.h"

/**
 * The number of nodes and of zones; and how often gangs save, and how long that takes, in seconds.
 */
#define SIM_NODES 3
#define SIM_CHECKPOINT_INTERVAL_S 10.0
#define SIM_SAVE_DURATION_S 2.0

typedef struct _Sim Sim;

/** What befalls a machine for so many seconds. */
typedef void (*SimMachineFault)(Sim *sim, guint machine, double seconds);

/** What the network does to messages. */
typedef struct {
  double lose;   /* chance that a request or its answer is lost */
  double repeat; /* chance that a request arrives twice */
  double late;   /* chance that a request arrives long after its caller gave up */
} SimNetworkFaults;

/** Faults may be set and ended at any time. */
typedef struct {
  SimNetworkFaults net;
  gboolean store_unavailable; /* the store answers 503 */
  guint store_refuses_nodes;  /* bit for each node that alone is refused */
  guint partitioned_zones;    /* bit for each zone that is partitioned from the others */
  guint unreachable_nodes;    /* bit for each node that no worker reaches, nor it them */
  double
      delayed_transactions; /* chance that a transaction gets no answer and is carried out late */
  gint64 store_delay_ms;    /* by which an answer of the store may be delayed */
  guint isolated_nodes;     /* bit for each node that reaches neither the store nor other nodes */
  double duplicated_heartbeats; /* chance that a copy of a heartbeat arrives late, up to several
                                   leases */
  guint max_machines;           /* that the cloud has in all; 0: any number */
  gboolean cloud_unavailable;
  gboolean cloud_is_full;
} SimFaults;

/** A job to submit. */
typedef struct {
  guint tasks;
  gboolean service;
  const char *team;
  const char *priority;
  gboolean scatter;
  gboolean spot;
  gboolean one_zone;
  gboolean gang; /* it saves every SIM_CHECKPOINT_INTERVAL_S, and takes SIM_SAVE_DURATION_S to save
                    when stopped */
  const char *zone; /* the only one allowed; NULL: any */
  double run_s;
} SimJob;

/** A cluster without machines and jobs, whose controllers start. */
Sim *sim_new(guint32 seed);
/** Ends the cluster. */
void sim_free(Sim *sim);
/** The heartbeat interval and the lease of workers; to be set before anything runs. */
void sim_set_heartbeat_timing(Sim *sim, double report_s, double lease_s);
/** The faults in force, to be changed. */
SimFaults *sim_faults(Sim *sim);
/** The generator that all of the simulation draws from. */
GRand *sim_rand(Sim *sim);
/** The properties, of all nodes. */
WsProperties *sim_properties(Sim *sim);
/** The simulated time in milliseconds. */
gint64 sim_now_ms(const Sim *sim);
/** Lets time pass. */
void sim_run(Sim *sim, double seconds);
/** The controller ends, and starts anew after the time. */
void sim_crash_node(Sim *sim, guint node, double back_after_s);
/** The process is paused while its clocks run on. */
void sim_pause_node(Sim *sim, guint node, double seconds);
/** Whether the node's controller runs. */
gboolean sim_node_is_up(const Sim *sim, guint node);
/** A user submits a job; jobs are numbered in this order. */
void sim_submit(Sim *sim, const SimJob *job);
/** The user of a random job cancels it, with the next request. */
void sim_cancel_random_job(Sim *sim);
/** The user of the job cancels it at once. */
void sim_cancel(Sim *sim, guint job);
/** Users cancel this part of the jobs at the end of a task of theirs. */
void sim_cancel_at_completion(Sim *sim, double part);
/**
 * Users ask about jobs that nobody submitted, cancel what is done, repeat submissions, and send
 * some that can't run or lack a field: each must get its answer, or a refusal for now.
 */
void sim_send_malformed_requests(Sim *sim);
/** How often an attempt of the gang started. */
guint sim_gang_starts(const Sim *sim, guint job);
/** How often an attempt of the gang lost a task while it ran. */
guint sim_gang_losses(const Sim *sim, guint job);
/** How often an attempt of the gang was stopped with its progress saved. */
guint sim_gang_saves(const Sim *sim, guint job);
/** Violates an invariant on purpose: the task starts on the machine, whatever anybody decided. */
void sim_force_start(Sim *sim, guint machine, guint job, guint task);
/** A machine with a running task of the job, by its place; G_MAXUINT: there is none. */
guint sim_find_machine_running_job(const Sim *sim, guint job);
/** A random machine that is up, by its place; G_MAXUINT: none. */
guint sim_draw_machine(Sim *sim);
/** The machine neither sends, takes nor does anything for so long. */
void sim_stall_machine(Sim *sim, guint machine, double seconds);
/**
 * Outbound and inbound are seen from the controllers: its heartbeats arrive, but neither answers
 * nor commands reach it.
 */
void sim_block_outbound(Sim *sim, guint machine, double seconds);
/** Its heartbeats reach no controller, while direct commands reach it. */
void sim_block_inbound(Sim *sim, guint machine, double seconds);
/** The settings announce lower limits of the store, which nodes keep to from now on. */
void sim_announce_limits(Sim *sim, guint ops, gsize bytes);
/** The store has such limits from now on. */
void sim_lower_limits(Sim *sim, guint ops, gsize bytes);
/** Transactions that it has refused for their size. */
guint sim_count_rejected_for_size(const Sim *sim);
/** The node that leads, as the store has it; G_MAXUINT: none. */
guint sim_leader(const Sim *sim);
/** Whether its user was told that the job is cancelled. */
gboolean sim_is_reported_cancelled(const Sim *sim, guint job);
/** The job's tasks that run now. */
guint sim_count_running(const Sim *sim, guint job);
/** A random machine that is up dies, or stalls for a while. */
void sim_kill_random_machine(Sim *sim);
/** A random machine that is up stalls. */
void sim_stall_random_machine(Sim *sim, double seconds);
/** A random machine that is up gets an interruption notice of so long, if it is a spot machine. */
void sim_interrupt_random_machine(Sim *sim, double seconds);
/** The machine gets an interruption notice of so long, if it is a spot machine. */
void sim_interrupt_machine(Sim *sim, guint machine, double seconds);
/** Its heartbeats arrive, but neither answers nor commands reach it. */
void sim_block_outbound_of_random_machine(Sim *sim, double seconds);
/** A random machine is back within a fraction of a second, as a new incarnation. */
void sim_restart_random_machine(Sim *sim);
/**
 * All faults end: from now on no accepted job may go unanswered for long, or wait for long while
 * there is free capacity that fits it.
 */
void sim_end_faults(Sim *sim);

/** Tasks that started more than a moment after their user was told that they are cancelled. */
guint sim_count_late_starts(const Sim *sim);
/** Jobs submitted so far. */
guint sim_count_jobs(const Sim *sim);
/** Jobs that are neither done nor cancelled, as their users were told. */
guint sim_count_open_jobs(const Sim *sim);
/** Jobs whose users were told that they are done. */
guint sim_count_done_jobs(const Sim *sim);
/** Tasks that ended with a worker's lease. */
guint sim_count_lost_tasks(const Sim *sim);
/** Tasks that were on machines when these were returned. */
guint sim_count_returned_tasks(const Sim *sim);
/** Whether a task of the job has run, or its user wants it no more. */
gboolean sim_job_has_started(const Sim *sim, guint index);
/** Machines that are rented and not returned: charged for. */
guint sim_count_machines(const Sim *sim);
/** The same in one zone. */
guint sim_count_machines_in_zone(const Sim *sim, const char *zone);
/** Records of tasks in the store. */
guint sim_count_task_records(const Sim *sim);
/** Termination marks in the store. */
guint sim_count_termination_marks(const Sim *sim);
/** Machines that are charged for without being in a rental batch of the store. */
guint sim_count_unrecorded_machines(const Sim *sim);
